/**
 * Detects that other experts are in demand, from what a few ranks have chosen over a few passes. Load pattern: the popularity of experts
 * is stable for seconds and then jumps, and each pass before the map follows is slow for all streams of the group.
 */
import {sum} from '../sum.js';

/** Similarity of a look to those before it below which the popularity has changed; topics of single prompts leave it above 0.9. */
const CHANGED_SIMILARITY = 0.85;
/** Weight of the looks so far against the newest one in the reference. */
const REFERENCE_WEIGHT = 0.8;
/** Choices in a look, as a multiple of the number of counters, below which it is too small to compare. */
const MIN_CHOICES_PER_COUNTER = 1;

/** Comparison of looks at the choices of experts. */
export type PopularityChange = Readonly<{
	/** Records how often each expert of each layer was chosen since the last look; true if the popularity has changed since the looks before. */
	observe: (counts: readonly number[]) => boolean;
}>;

/** Cosine of the angle between two lists of counts, from 0 to 1. */
export function measureSimilarity(left: readonly number[], right: readonly number[]): number {
	const product = (a: readonly number[], b: readonly number[]) => sum(a.map((value, i) => value * (b[i] ?? 0)));
	return product(left, right) / Math.max(Number.MIN_VALUE, Math.sqrt(product(left, left) * product(right, right)));
}

/** Creates a detector without looks. */
export function createPopularityChange(): PopularityChange {
	let reference: readonly number[] | undefined;
	return {
		observe(counts) {
			if (sum(counts) < counts.length * MIN_CHOICES_PER_COUNTER) {
				return false;
			}

			if (reference?.length !== counts.length || measureSimilarity(reference, counts) < CHANGED_SIMILARITY) {
				const isFirst = reference === undefined;
				reference = counts;
				return !isFirst;
			}

			reference = reference.map((value, i) => (value * REFERENCE_WEIGHT) + (counts[i] ?? 0));
			return false;
		},
	};
}
