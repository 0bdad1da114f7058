import type {AdmissionDecision} from '../decisions/admission/admission-request.js';
import type {RetryDecision} from '../decisions/retry/retry-budget.js';
import type {TrackedAttempt} from '../decisions/routing/server-record.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest} from './call-request.js';

/** The decisions that dispatch asks for. */
export type TrafficPolicies = Readonly<{
	/** Resolves when the request may be dispatched or is refused. */
	admit: (req: CallRequest, signal?: AbortSignal) => Promise<AdmissionDecision>;
	/** The best of the links; undefined without any. */
	chooseLink: (links: readonly AgentLink[], req: CallRequest) => AgentLink | undefined;
	/** Follows an attempt that starts now. */
	trackAttempt: (link: AgentLink, req: CallRequest) => TrackedAttempt;
	/** Takes one retry from the budget of the class of work. */
	decideRetry: (req: CallRequest, retries: number) => RetryDecision;
}>;
