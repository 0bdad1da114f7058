/**
 * Samples the entries of an address answer in proportion to their weights. Callers pick one of the addresses uniformly, so an
 * entry's share of the callers follows the probability with which answers list it.
 */
import type {RandomSource} from '../random.js';
import {sum} from '../sum.js';

/** Minimum number of entries in an answer, if there are as many: a caller can then retry while one is dead and another refuses. */
export const MIN_SAMPLE = 3;
/** Tolerance for sums of probabilities. */
const ROUNDING = 1e-9;

export type SampleOptions = Readonly<{maxCount: number; random: RandomSource}>;

/**
 * Computes the probability with which an answer lists each entry. It is in proportion to the weight, and 1 for the largest, unless
 * that would list fewer than the minimum or more than `maxCount` entries on average.
 */
export function computeInclusion(weights: readonly number[], maxCount: number): readonly number[] {
	const largest = Math.max(...weights);
	const minCount = Math.min(MIN_SAMPLE, maxCount, weights.length);
	const expected = sum(weights) / largest;
	if (expected >= minCount) {
		const scale = Math.min(1, maxCount / expected) / largest;
		return weights.map(weight => weight * scale);
	}

	// Entries that reach a probability of 1 leave the rest of the minimum to the others, in proportion to their weights.
	let certain: ReadonlySet<number> = new Set();
	for (;;) {
		const included = certain;
		const rest = sum(weights.filter((_, i) => !included.has(i)));
		const scale = rest > 0 ? (minCount - included.size) / rest : 0;
		const probabilities = weights.map((weight, i) => included.has(i) ? 1 : weight * scale);
		certain = new Set(probabilities.flatMap((probability, i) => probability >= 1 - ROUNDING ? [i] : []));
		if (certain.size === included.size) {
			return probabilities;
		}
	}
}

type Candidate<T> = Readonly<{entry: T; weight: number; probability: number}>;

function shuffle<T>(items: readonly T[], random: RandomSource): readonly T[] {
	return items
		.map(item => ({item, sortKey: random()}))
		.toSorted((left, right) => left.sortKey - right.sortKey)
		.map(({item}) => item);
}

/** Shuffles the candidates, and keeps those of a failure domain together so that a systematic sample spreads over the domains. */
function shuffleByDomain<T extends Readonly<{failureDomain: string}>>(candidates: ReadonlyArray<Candidate<T>>, random: RandomSource): ReadonlyArray<Candidate<T>> {
	const domains = shuffle([...new Set(candidates.map(({entry}) => entry.failureDomain))], random);
	return domains.flatMap(domain => shuffle(candidates.filter(({entry}) => entry.failureDomain === domain), random));
}

/** Draws one candidate with a probability in proportion to its weight. */
function drawOne<T>(candidates: ReadonlyArray<Candidate<T>>, random: RandomSource): Candidate<T> | undefined {
	let left = random() * sum(candidates.map(({weight}) => weight));
	for (const candidate of candidates) {
		left -= candidate.weight;
		if (left < 0) {
			return candidate;
		}
	}

	return candidates.at(-1);
}

/** Adds an entry of a second failure domain to a sample of only one, if there is another, in place of the lightest if the sample is full. */
function addSecondDomain<T extends Readonly<{failureDomain: string}>>(
	sample: ReadonlyArray<Candidate<T>>,
	candidates: ReadonlyArray<Candidate<T>>,
	{maxCount, random}: SampleOptions,
): ReadonlyArray<Candidate<T>> {
	const domains = new Set(sample.map(({entry}) => entry.failureDomain));
	const added = domains.size > 1 ? undefined : drawOne(candidates.filter(({entry}) => !domains.has(entry.failureDomain)), random);
	if (!added || maxCount < 2) {
		return sample;
	}

	const kept = sample.length < maxCount ? sample : sample.toSorted((left, right) => right.weight - left.weight).slice(0, maxCount - 1);
	return [...kept, added];
}

/**
 * Draws a systematic sample: at most `maxCount` entries, each with its probability of inclusion, in random order, and of at least
 * two failure domains where there are two. The size of the sample varies by at most one, since a caller's choice among a varying
 * number of addresses would favour the entries that small samples list.
 */
export function drawWeightedSample<T extends Readonly<{failureDomain: string}>>(entries: readonly T[], weights: readonly number[], options: SampleOptions): readonly T[] {
	const {maxCount, random} = options;
	const probabilities = computeInclusion(weights, maxCount);
	const candidates = shuffleByDomain(entries.map((entry, i) => ({entry, weight: weights[i] ?? 0, probability: probabilities[i] ?? 0})), random);
	const sample: Array<Candidate<T>> = [];
	// The first grid point is in (0, 1]; each further one follows at a distance of 1.
	let nextPoint = 1 - random();
	let reached = 0;
	for (const candidate of candidates) {
		reached += candidate.probability;
		if (reached >= nextPoint - ROUNDING && sample.length < maxCount) {
			sample.push(candidate);
			nextPoint++;
		}
	}

	return shuffle(addSecondDomain(sample, candidates, options).map(({entry}) => entry), random);
}
