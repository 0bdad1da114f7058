/** Looks up a key in the ledger handed over by an agent incarnation that can no longer be queried. */
import {match} from 'ts-pattern';
import {digestKey} from '../ledger/key-digest.js';
import {readHandedOverLedger, type HandedOverEntry} from '../ledger/ledger-hand-over.js';
import {notRun} from '../core/outcome.js';
import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';
import {
	settleAnswered, settleNotRun, settleUnknown, type SettledOutcome,
} from './settled.js';
import type {AgentIncarnation} from './prove-not-started.js';

/** Result of looking up a key in the handed-over ledger of an incarnation. */
export type HandedOverLookup
	= | Readonly<{tag: 'settled'; settled: SettledOutcome}>
		/** The incarnation handed over its ledger and the key is not in it: the call never ran there. */
		| Readonly<{tag: 'never_ran'}>
		/** Nothing was handed over, or it cannot be read. */
		| Readonly<{tag: 'no_ledger'; detail: string}>;

/** Looks up the request's key in the ledger that the incarnation handed over. */
export async function lookUpHandedOverKey(ctx: DispatchContext, req: CallRequest, agent: AgentIncarnation): Promise<HandedOverLookup> {
	const ledger = await readHandedOverLedger(ctx.objects, agent.agentId, agent.incarnation);
	if (!ledger.ok) {
		return {tag: 'no_ledger', detail: ledger.error.tag};
	}

	const digest = digestKey(req.account, req.key?.key ?? '');
	const entry = ledger.value.find(item => item.account === req.account && item.keyDigest === digest);
	return entry ? {tag: 'settled', settled: toSettledOutcome(req, entry)} : {tag: 'never_ran'};
}

function toSettledOutcome(req: CallRequest, entry: HandedOverEntry): SettledOutcome {
	if (entry.requestDigest !== req.requestDigest) {
		return settleNotRun('refused', '', notRun('key_reused', 'the key was used for another request'));
	}

	return match(entry)
		.with({state: 'unknown'}, () => settleUnknown('', 'incarnation_gone', 'the agent stopped before the call had an answer'))
		.with({state: 'answered'}, ({status, body}) => body
			? settleAnswered('', status, body, true)
			: settleUnknown('', 'answer_not_kept', 'the call ran; its answer is kept no more'))
		.exhaustive();
}
