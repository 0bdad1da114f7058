/** Calls of plain services: admission, then the way that the class of work and the key ask for. */
import {match, P} from 'ts-pattern';
import {type Outcome, notRun} from '../core/outcome.js';
import {createBodyCollector} from './answer-collectors.js';
import type {CallRequest} from './call-request.js';
import {dispatchBound} from './dispatch-bound.js';
import {dispatchClaimed} from './dispatch-claimed.js';
import type {DispatchContext} from './dispatch-context.js';
import {dispatchRetryable} from './dispatch-retryable.js';
import {NO_BACKEND_SERVER_RETRY_MILLIS} from './dispatch-constants.js';
import {settleRefusal} from './settle-refusal.js';
import {
	recordOutcome, recordFirstByte, settleNotRun, type SettledOutcome,
} from './settled.js';

/** Runs the call to the outcome that the caller is told. `signal` aborts when the caller has left. */
export async function dispatchPlain(ctx: DispatchContext, req: CallRequest, signal?: AbortSignal): Promise<Outcome> {
	const startedMillis = ctx.clock.monotonicMillis();
	const settled = await admitAndRun(ctx, req, signal);
	if (settled.outcome.tag === 'answered') {
		recordFirstByte(ctx, req, ctx.clock.monotonicMillis() - startedMillis);
	}

	return recordOutcome(ctx, req, settled);
}

async function admitAndRun(ctx: DispatchContext, req: CallRequest, signal?: AbortSignal): Promise<SettledOutcome> {
	if (req.key && !ctx.audit.hasRoom()) {
		const refusal = settleNotRun('never_sent', '', notRun('audit_full', 'the audit record has no room', NO_BACKEND_SERVER_RETRY_MILLIS));
		return settleRefusal(ctx, req, refusal);
	}

	const admission = await ctx.policies.admit(req, req.key ? undefined : signal);
	if (admission.tag === 'refused') {
		const refusal = settleNotRun('never_sent', '', notRun(admission.reason, 'not admitted', admission.retryAfterMillis));
		return settleRefusal(ctx, req, refusal);
	}

	const settled = await run(ctx, req, signal);
	admission.noteFirstByte();
	admission.release();
	return settled;
}

async function run(ctx: DispatchContext, req: CallRequest, signal?: AbortSignal): Promise<SettledOutcome> {
	return match(req.key)
		.with(P.nullish, async () => {
			const {settled} = await dispatchRetryable(ctx, req, createBodyCollector(), signal);
			return settled;
		})
		.with({tag: 'own'}, async key => dispatchClaimed(ctx, req, key))
		.with({tag: 'bound'}, async key => dispatchBound(ctx, req, key))
		.exhaustive();
}
