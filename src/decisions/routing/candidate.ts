import type {InstanceId} from '../../core/ids.js';
import type {CachedPrefixEstimate} from './cached-prefix-estimate.js';

/** A backend server that could serve a request, with the current estimates of this entry. */
export type Candidate = Readonly<{
	agentId: InstanceId;
	failureDomain: string;
	/** Own attempts that have not ended. */
	ownInFlight: number;
	/** Expected prefill time of own attempts without a first token, in milliseconds. */
	ownPrefillMillis: number;
	/** Estimated requests of other entries there: the last report, moved towards the mean of all backend servers with its age. */
	othersInFlight: number;
	/** Estimated requests waiting there for a slot in the batch. */
	queued: number;
	/** How long the oldest own attempt without a first token has waited, in milliseconds; 0 when there is none. */
	oldestWaitMillis: number;
	/** Measured time to first token over the expected one; 1 is normal, larger is slower. */
	slowFactor: number;
	/** Whether own attempts have made no progress, or no heartbeat has arrived, for too long. */
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
	/** Time left until the deadline. */
	remainingMillis: number;
	/** Monotonic time of the decision in milliseconds. */
	nowMillis: number;
}>;
