import type {Candidate, RoutingRequest} from './candidate.js';
import {readCachedProbability, type CachedPrefixEstimate} from './cached-prefix-estimate.js';

/** Expected wait for each request that a backend server already has. */
const MILLIS_PER_REQUEST = 2;
/** Expected wait for each request that is queued there beyond those running. */
const MILLIS_PER_QUEUED_REQUEST = 40;
/** Expected time to process a prompt token that is not cached. */
const MILLIS_PER_PROMPT_TOKEN = 0.2;
/** Expected time of a prompt beside that of its tokens. */
const PROMPT_BASE_MILLIS = 5;
/** Time to first token of an idle backend server. */
const BASE_MILLIS = 30;
/** Price of leaving the failure domain. */
const OTHER_DOMAIN_MILLIS = 3;

/** Prompt tokens that are expected to be found in the cache. */
export function estimateCachedTokens(belief: CachedPrefixEstimate, req: RoutingRequest): number {
	let best = 0;
	for (const prefix of req.prefixes) {
		best = Math.max(best, prefix.tokens * readCachedProbability(belief, prefix.digest, req.nowMillis));
	}

	return best;
}

/** Expected time that the prompt takes at a backend server of normal speed, in milliseconds. */
export function estimatePrefillMillis(candidate: Candidate, req: RoutingRequest): number {
	const promptTokens = req.promptTokens - estimateCachedTokens(candidate.prefixes, req);
	return PROMPT_BASE_MILLIS + (promptTokens * MILLIS_PER_PROMPT_TOKEN);
}

/** Expected time to first token at a backend server of normal speed, in milliseconds; for a plain service, to its first byte. */
export function estimateNominalMillis(candidate: Candidate, req: RoutingRequest): number {
	const inFlightMillis = (candidate.ownInFlight + candidate.othersInFlight) * MILLIS_PER_REQUEST;
	const queuedMillis = candidate.queued * MILLIS_PER_QUEUED_REQUEST;
	return BASE_MILLIS + inFlightMillis + queuedMillis + candidate.ownPrefillMillis + estimatePrefillMillis(candidate, req);
}

/** Expected time to first token at this candidate, in milliseconds: at its measured speed, and no less than own attempts wait there now. */
export function estimateFirstTokenMillis(candidate: Candidate, req: RoutingRequest): number {
	const expected = estimateNominalMillis(candidate, req) * candidate.slowFactor;
	const distance = candidate.failureDomain === req.failureDomain ? 0 : OTHER_DOMAIN_MILLIS;
	return Math.max(expected, candidate.oldestWaitMillis) + distance;
}
