import type {AdmissionDecision} from '../decisions/admission/admission-request.js';
import type {RetryDecision} from '../decisions/retry/retry-budget.js';
import type {TrackedAttempt} from '../decisions/routing/server-record.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest} from './call-request.js';

/** The policies that dispatch applies: admission, choice of a backend server, retries. */
export type TrafficPolicies = Readonly<{
	/** Resolves when the request is admitted or refused. */
	admit: (req: CallRequest, signal?: AbortSignal) => Promise<AdmissionDecision>;
	/** Chooses one of the links; undefined when there is none. */
	chooseLink: (links: readonly AgentLink[], req: CallRequest) => AgentLink | undefined;
	/** Starts tracking an attempt that starts now. */
	trackAttempt: (link: AgentLink, req: CallRequest) => TrackedAttempt;
	/** Takes one retry from the retry budget of the work class, if there is one. */
	decideRetry: (req: CallRequest, retries: number) => RetryDecision;
}>;
