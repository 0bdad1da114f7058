import type {RandomSource} from '../random.js';
import type {Candidate, RoutingRequest} from './candidate.js';
import {estimateCachedTokens, estimateFirstTokenMillis} from './first-token-cost.js';

/** Candidates drawn at random for each decision, beside those believed to hold the prefix. */
const RANDOM_CHOICES = 12;
/** Candidates added because they are believed to hold the longest part of the prompt. */
const PREFIX_CHOICES = 2;

function drawSome(candidates: readonly Candidate[], count: number, random: RandomSource): readonly Candidate[] {
	const rest = [...candidates];
	const drawn: Candidate[] = [];
	while (drawn.length < count && rest.length > 0) {
		drawn.push(...rest.splice(Math.floor(random() * rest.length), 1));
	}

	return drawn;
}

function findPrefixHolders(candidates: readonly Candidate[], req: RoutingRequest): readonly Candidate[] {
	if (req.prefixes.length === 0) {
		return [];
	}

	return candidates
		.map(candidate => ({candidate, tokens: estimateCachedTokens(candidate.prefixes, req)}))
		.filter(item => item.tokens > 0)
		.toSorted((left, right) => right.tokens - left.tokens)
		.slice(0, PREFIX_CHOICES)
		.map(item => item.candidate);
}

function findCheapest(candidates: readonly Candidate[], req: RoutingRequest): Candidate | undefined {
	let cheapest: Candidate | undefined;
	let lowestMillis = Infinity;
	for (const candidate of candidates) {
		const millis = estimateFirstTokenMillis(candidate, req);
		if (millis < lowestMillis) {
			lowestMillis = millis;
			cheapest = candidate;
		}
	}

	return cheapest;
}

/**
 * Chooses the backend server for one attempt: the cheapest of a few drawn at random and of those believed to hold the prompt's prefix.
 *
 * Drawing at random keeps entries with the same lagging reports from all choosing the same one. Stalled candidates are taken only
 * when there is no other. Undefined without candidates.
 */
export function chooseBackendServer(candidates: readonly Candidate[], req: RoutingRequest, random: RandomSource): Candidate | undefined {
	const responsive = candidates.filter(candidate => !candidate.isStalled);
	const pool = responsive.length > 0 ? responsive : candidates;
	const drawn = drawSome(pool, RANDOM_CHOICES, random);
	return findCheapest([...drawn, ...findPrefixHolders(pool, req)], req);
}
