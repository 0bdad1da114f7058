/**
 * Refusals of requests whose key may have run before.
 *
 * A request that is refused before its first attempt did not run, but an earlier one with the same key may have. Unless
 * the caller says that this is the key's first use, or the key is found unused, the outcome is `unknown`.
 */
import {readClaim} from '../claims/claim.js';
import {digestKey} from '../ledger/key-digest.js';
import type {CallRequest, IdempotencyKey} from './call-request.js';
import {QUERY_TIMEOUT_MILLIS} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {queryKeyState} from './prove-not-started.js';
import {settleUnknown, type SettledOutcome} from './settled.js';

/** The outcome to tell for a request that was refused before its first attempt. */
export async function settleRefusal(ctx: DispatchContext, req: CallRequest, refusal: SettledOutcome): Promise<SettledOutcome> {
	if (!req.key || req.key.isFirstUse || await isKeyUnused(ctx, req, req.key)) {
		return refusal;
	}

	const detail = refusal.outcome.tag === 'not_run' ? refusal.outcome.reason : refusal.outcome.tag;
	return settleUnknown('', 'repeat_refused', `this request did not run (${detail}); an earlier one with the key may have`);
}

async function isKeyUnused(ctx: DispatchContext, req: CallRequest, key: IdempotencyKey): Promise<boolean> {
	if (key.tag === 'own') {
		const read = await readClaim(ctx.table, digestKey(req.account, key.key));
		return read.tag === 'absent';
	}

	const link = ctx.links.links().find(open => open.hello.incarnation === key.binding.incarnation);
	return link !== undefined && await queryKeyState(link, req, QUERY_TIMEOUT_MILLIS) === 'never_seen';
}
