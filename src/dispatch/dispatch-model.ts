/** Dispatches model requests, whose answers are streamed: a broken stream is resumed on another agent at the next offset. */
import {notRun, type NotRunReason, type UnknownReason} from '../core/outcome.js';
import {createTokenRelay, type TokenRelay, type TokenSink} from './answer-collectors.js';
import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';
import {dispatchRetryable, type RetryableResult} from './dispatch-retryable.js';
import {
	recordOutcome, recordFirstByte, settleNotRun, settleUnknown, type SettledOutcome,
} from './settled.js';

/** How a stream ended. Only after `whole` may the caller be sent an end of the stream. */
export type ModelOutcome
	/** All tokens were forwarded; `digest` is SHA-256 over them, hex. */
	= | Readonly<{tag: 'whole'; count: number; digest: string}>
		/** The request did not run and no token was forwarded. */
		| Readonly<{tag: 'not_run'; reason: NotRunReason; detail: string; retryAfterMillis: number | undefined}>
		/** The answer is incomplete; tokens may have been forwarded. */
		| Readonly<{tag: 'unknown'; reason: UnknownReason; detail: string}>;

/** Runs the request and passes its tokens to `sink` in order and without gaps. `signal` aborts when the caller disconnects. */
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
		? recordCompleteStream(ctx, req, {settled, attempts}, relay)
		: toModelOutcome(ctx, req, markPartlyForwarded(settled, relay));
}

function recordCompleteStream(ctx: DispatchContext, req: CallRequest, {settled, attempts}: RetryableResult, relay: TokenRelay): ModelOutcome {
	recordOutcome(ctx, req, settled);
	const [count, digest] = [relay.count(), relay.digest()];
	ctx.audit.append({
		kind: 'stream_ended', requestId: req.requestId, account: req.account, count, digest, attempts,
	}, 'may_drop');
	return {tag: 'whole', count, digest};
}

/** A request whose tokens were forwarded has run, even if its last attempt did not. */
function markPartlyForwarded(settled: SettledOutcome, relay: TokenRelay): SettledOutcome {
	return relay.hasForwardedChunks() && settled.outcome.tag === 'not_run'
		? settleUnknown(settled.attemptId, 'backend_server_failed', settled.outcome.detail)
		: settled;
}

function toModelOutcome(ctx: DispatchContext, req: CallRequest, settled: SettledOutcome): ModelOutcome {
	const outcome = recordOutcome(ctx, req, settled);
	return outcome.tag === 'answered' ? {tag: 'unknown', reason: 'backend_server_failed', detail: 'the answer is not whole'} : outcome;
}
