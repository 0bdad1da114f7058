import type {Candidate, RoutingRequest} from './candidate.js';
import {readCachedProbability, type CachedPrefixEstimate} from './cached-prefix-estimate.js';

/** Expected wait for each request in flight at a backend server. */
const MILLIS_PER_REQUEST_IN_FLIGHT = 2;
/** Additional expected wait for each queued request. */
const MILLIS_PER_QUEUED_REQUEST = 40;
/** Expected prefill time of a prompt token that is not cached. */
const MILLIS_PER_PROMPT_TOKEN = 0.2;
/** Expected prefill time of a prompt, independent of its length. */
const PREFILL_BASE_MILLIS = 5;
/** Time to first token of an idle backend server. */
const IDLE_FIRST_TOKEN_MILLIS = 30;
/** Penalty for a backend server in another failure domain. */
const OTHER_DOMAIN_PENALTY_MILLIS = 3;

/** Expected number of prompt tokens found in the cache. */
export function estimateCachedTokens(estimate: CachedPrefixEstimate, req: RoutingRequest): number {
	let best = 0;
	for (const prefix of req.prefixes) {
		best = Math.max(best, prefix.tokens * readCachedProbability(estimate, prefix.digest, req.nowMillis));
	}

	return best;
}

/** Expected prefill time of the prompt at a backend server of normal speed, in milliseconds. */
export function estimatePrefillMillis(candidate: Candidate, req: RoutingRequest): number {
	const promptTokens = req.promptTokens - estimateCachedTokens(candidate.prefixes, req);
	return PREFILL_BASE_MILLIS + (promptTokens * MILLIS_PER_PROMPT_TOKEN);
}

/** Expected time to first token at a backend server of normal speed, in milliseconds; for a plain service, to its first byte. */
export function estimateNominalMillis(candidate: Candidate, req: RoutingRequest): number {
	const inFlightMillis = (candidate.ownInFlight + candidate.othersInFlight) * MILLIS_PER_REQUEST_IN_FLIGHT;
	const queuedMillis = candidate.queued * MILLIS_PER_QUEUED_REQUEST;
	return IDLE_FIRST_TOKEN_MILLIS + inFlightMillis + queuedMillis + candidate.ownPrefillMillis + estimatePrefillMillis(candidate, req);
}

/** Expected time to first token at this candidate, in milliseconds: at its measured speed, and at least the current wait of own attempts there. */
export function estimateFirstTokenMillis(candidate: Candidate, req: RoutingRequest): number {
	const expectedMillis = estimateNominalMillis(candidate, req) * candidate.slowFactor;
	const domainPenaltyMillis = candidate.failureDomain === req.failureDomain ? 0 : OTHER_DOMAIN_PENALTY_MILLIS;
	return Math.max(expectedMillis, candidate.oldestWaitMillis) + domainPenaltyMillis;
}
