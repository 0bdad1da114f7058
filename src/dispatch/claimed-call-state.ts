/** State of a request with a claimed key, and the steps of its state machine. */
import type {ClaimRow} from '../claims/claim.js';
import type {InstanceId} from '../core/ids.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest, IdempotencyKey} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';
import type {AgentIncarnation} from './prove-not-started.js';
import type {SettledOutcome} from './settled.js';

/** A key that is claimed in the table. */
export type ClaimedKey = Extract<IdempotencyKey, {tag: 'own'}>;

/** State of one request, kept from step to step. */
export type ClaimedCallState = {
	readonly ctx: DispatchContext;
	readonly req: CallRequest;
	readonly key: ClaimedKey;
	readonly refusedBy: Set<InstanceId>;
	retries: number;
	configurationWaits: number;
	/** Number of polls of a claim whose attempt had not started. */
	unstartedPolls: number;
	/** The outcome if no agent accepts the call. */
	lastRefusal: SettledOutcome;
};

/** The next step of a request. */
export type ClaimedStep
	/** Writes a new attempt into the row, if the row still has this version. */
	= | Readonly<{tag: 'claim'; version: number}>
		/** Sends the attempt in the row, which belongs to this request and was not sent yet. */
		| Readonly<{tag: 'run'; row: ClaimRow; link: AgentLink}>
		/** Asks for the state of the attempt in the row. */
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

