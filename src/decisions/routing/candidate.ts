import type {InstanceId} from '../../core/ids.js';
import type {CachedPrefixEstimate} from './cached-prefix-estimate.js';

/** A backend server that could serve a request, as this entry sees it now. */
export type Candidate = Readonly<{
	agentId: InstanceId;
	failureDomain: string;
	/** Own attempts that have not ended. */
	ownInFlight: number;
	/** Expected time that the prompts of own attempts without a first token take, in milliseconds. */
	ownPrefillMillis: number;
	/** Requests that other entries are believed to have there: the last report, faded towards the mean of all with its age. */
	othersInFlight: number;
	/** Requests believed to wait there for a place in the batch. */
	queued: number;
	/** How long the oldest own attempt without a first token has waited, in milliseconds; 0 when there is none. */
	oldestWaitMillis: number;
	/** Measured time to first token over the expected one; 1 is normal, larger is slower. */
	slowFactor: number;
	/** No progress on own attempts or no heartbeat for too long. */
	isStalled: boolean;
	prefixes: CachedPrefixEstimate;
}>;

/** A prompt prefix of a request. */
export type PromptPrefix = Readonly<{
	digest: string;
	/** Length in tokens (or any unit in which all prefixes of a request are counted). */
	tokens: number;
}>;

/** What routing needs to know of a request. */
export type RoutingRequest = Readonly<{
	/** Prefixes of the prompt, longest first; empty for a plain service. */
	prefixes: readonly PromptPrefix[];
	/** Length of the whole prompt in tokens; 0 for a plain service. */
	promptTokens: number;
	/** Failure domain of this entry. */
	failureDomain: string;
	/** Priority of the class of work; larger is more urgent. */
	priority: number;
	/** Time left to the deadline. */
	remainingMillis: number;
	/** Monotonic time of the decision in milliseconds. */
	nowMillis: number;
}>;
