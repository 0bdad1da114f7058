import type {RandomSource} from '../random.js';
import type {Candidate, RoutingRequest} from './candidate.js';
import {estimateCachedTokens, estimateFirstTokenMillis} from './first-token-cost.js';

/** Candidates drawn at random for each decision, in addition to those likely to hold the prefix. */
const RANDOM_CHOICES = 12;
/** Candidates added because they are expected to have most of the prompt cached. */
const PREFIX_CHOICES = 2;

function drawRandom(candidates: readonly Candidate[], count: number, random: RandomSource): readonly Candidate[] {
	const remaining = [...candidates];
	const drawn: Candidate[] = [];
	while (drawn.length < count && remaining.length > 0) {
		drawn.push(...remaining.splice(Math.floor(random() * remaining.length), 1));
	}

	return drawn;
}

function findLikelyPrefixHolders(candidates: readonly Candidate[], req: RoutingRequest): readonly Candidate[] {
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
 * Chooses the backend server for one attempt: the cheapest of a few drawn at random and of those likely to hold the prompt's prefix.
 *
 * The random draw keeps entries with the same outdated reports from all choosing the same one. Stalled candidates are chosen only
 * when there is no other. Undefined without candidates.
 */
export function chooseBackendServer(candidates: readonly Candidate[], req: RoutingRequest, random: RandomSource): Candidate | undefined {
	const responsive = candidates.filter(candidate => !candidate.isStalled);
	const pool = responsive.length > 0 ? responsive : candidates;
	const drawn = drawRandom(pool, RANDOM_CHOICES, random);
	return findCheapest([...drawn, ...findLikelyPrefixHolders(pool, req)], req);
}
