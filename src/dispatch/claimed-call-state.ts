/** State of a request with a claimed key, and the steps that lead to its outcome. */
import type {ClaimRow} from '../claims/claim.js';
import type {InstanceId} from '../core/ids.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest, IdempotencyKey} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';
import type {AgentIncarnation} from './prove-not-started.js';
import type {SettledOutcome} from './settled.js';

/** The use of a key that is claimed in the table. */
export type ClaimedKey = Extract<IdempotencyKey, {tag: 'own'}>;

/** One request on its way, with what was learnt so far. */
export type ClaimedCallState = {
	readonly ctx: DispatchContext;
	readonly req: CallRequest;
	readonly key: ClaimedKey;
	readonly refusedBy: Set<InstanceId>;
	retries: number;
	configurationWaits: number;
	/** Looks at a claim whose attempt had not started. */
	unstartedPolls: number;
	/** What is told when no agent takes the call. */
	lastRefusal: SettledOutcome;
};

/** What to do next. */
export type ClaimedStep
	/** Write a new attempt into the row, if it still has this version. */
	= | Readonly<{tag: 'claim'; version: number}>
	/** The row names an attempt of this request that was not sent yet. */
		| Readonly<{tag: 'run'; row: ClaimRow; link: AgentLink}>
	/** Find out what became of the attempt in the row. */
		| Readonly<{tag: 'inspect'; row: ClaimRow}>
		| Readonly<{tag: 'done'; settled: SettledOutcome}>;

/** The step that ends the request. */
export function settledStep(settled: SettledOutcome): ClaimedStep {
	return {tag: 'done', settled};
}

/** The agent incarnation that the row names. */
export function getClaimAgent({claim}: ClaimRow): AgentIncarnation {
	return {agentId: claim.agentId, incarnation: claim.agentIncarnation, linkAddress: claim.linkAddress};
}

