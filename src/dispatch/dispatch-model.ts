/** Streamed answers of models: a stream that breaks is continued elsewhere from the next offset. */
import {notRun, type NotRunReason, type UnknownReason} from '../core/outcome.js';
import {createTokenRelay, type TokenRelay, type TokenSink} from './answer-collectors.js';
import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';
import {dispatchRetryable, type RetryableResult} from './dispatch-retryable.js';
import {
	recordOutcome, recordFirstByte, settleNotRun, settleUnknown, type SettledOutcome,
} from './settled.js';

/** How a stream ended. Only `whole` may be shown to the caller as an end. */
export type ModelOutcome
	/** All tokens were passed on; `digest` is SHA-256 over them, hex. */
	= | Readonly<{tag: 'whole'; count: number; digest: string}>
	/** Nothing ran and nothing was passed on. */
		| Readonly<{tag: 'not_run'; reason: NotRunReason; detail: string; retryAfterMillis: number | undefined}>
	/** The answer is not whole; tokens may have been passed on. */
		| Readonly<{tag: 'unknown'; reason: UnknownReason; detail: string}>;

/** Runs the request and passes tokens to `sink` in order and without holes. `signal` aborts when the caller has left. */
export async function dispatchModel(ctx: DispatchContext, req: CallRequest, sink: TokenSink, signal?: AbortSignal): Promise<ModelOutcome> {
	const startedMillis = ctx.clock.monotonicMillis();
	const admission = await ctx.policies.admit(req, signal);
	if (admission.tag === 'refused') {
		return toModelOutcome(ctx, req, settleNotRun('never_sent', '', notRun(admission.reason, 'not admitted', admission.retryAfterMillis)));
	}

	const relay = createTokenRelay((offset, tokens) => {
		if (offset === 0) {
			admission.noteFirstByte();
			recordFirstByte(ctx, req, ctx.clock.monotonicMillis() - startedMillis);
		}

		sink(offset, tokens);
	});
	const {settled, attempts} = await dispatchRetryable(ctx, req, relay, signal);
	admission.release();
	return settled.outcome.tag === 'answered'
		? finishWhole(ctx, req, {settled, attempts}, relay)
		: toModelOutcome(ctx, req, markBegun(settled, relay));
}

function finishWhole(ctx: DispatchContext, req: CallRequest, {settled, attempts}: RetryableResult, relay: TokenRelay): ModelOutcome {
	recordOutcome(ctx, req, settled);
	const [count, digest] = [relay.count(), relay.digest()];
	ctx.audit.append({
		kind: 'stream_ended', requestId: req.requestId, account: req.account, count, digest, attempts,
	}, 'may_drop');
	return {tag: 'whole', count, digest};
}

/** A request whose tokens were passed on did run, whatever its last attempt met. */
function markBegun(settled: SettledOutcome, relay: TokenRelay): SettledOutcome {
	return relay.hasForwardedChunks() && settled.outcome.tag === 'not_run'
		? settleUnknown(settled.attemptId, 'backend_server_failed', settled.outcome.detail)
		: settled;
}

function toModelOutcome(ctx: DispatchContext, req: CallRequest, settled: SettledOutcome): ModelOutcome {
	const outcome = recordOutcome(ctx, req, settled);
	return outcome.tag === 'answered' ? {tag: 'unknown', reason: 'backend_server_failed', detail: 'the answer is not whole'} : outcome;
}
