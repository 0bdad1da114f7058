/** State of a request with a claimed key, and the steps of its state machine. */
import type {ClaimRow} from '../claims/claim.js';
import type {InstanceId} from '../core/ids.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest, KeyUse} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';
import type {AgentIncarnation} from './settle-late.js';
import type {Settled} from './settled.js';

/** A key that is claimed in the table. */
export type OwnKey = Extract<KeyUse, {tag: 'own'}>;

/** State of one request, kept from step to step. */
export type ClaimedRun = {
	readonly ctx: DispatchContext;
	readonly req: CallRequest;
	readonly key: OwnKey;
	readonly refusedBy: Set<InstanceId>;
	retries: number;
	configurationWaits: number;
	/** How often a claim was polled whose attempt had not started. */
	unstartedPolls: number;
	/** The outcome if no agent accepts the call. */
	refusal: Settled;
};

/** The next step of a request. */
export type ClaimedStep
	/** Writes a new attempt into the row, if the row still has this version. */
	= | Readonly<{tag: 'claim'; version: number}>
	/** Sends the attempt in the row, which belongs to this request and was not sent yet. */
		| Readonly<{tag: 'run'; row: ClaimRow; link: AgentLink}>
	/** Asks for the state of the attempt in the row. */
		| Readonly<{tag: 'inspect'; row: ClaimRow}>
		| Readonly<{tag: 'done'; settled: Settled}>;

/** The step that ends the request. */
export function done(settled: Settled): ClaimedStep {
	return {tag: 'done', settled};
}

/** The agent incarnation that the row names. */
export function agentOf({claim}: ClaimRow): AgentIncarnation {
	return {agentId: claim.agentId, incarnation: claim.agentIncarnation, linkAddress: claim.linkAddress};
}

