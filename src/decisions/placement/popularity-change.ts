/**
 * Detects that other experts are in demand, from what a few ranks have chosen over a few passes. Load pattern: the popularity of experts
 * is stable for seconds and then jumps, and each pass before the map follows is slow for all streams of the group.
 */
import {sum} from '../sum.js';

/** Least difference (1 less the similarity) that counts as a change. A sample taken half before and half after a jump differs by about 0.09. */
const MIN_CHANGED_DIFFERENCE = 0.05;
/** The same as a multiple of the usual difference between samples, which is large where a few prompts with topics of their own make up a sample. */
const CHANGED_DIFFERENCE_FACTOR = 4;
/** Upper bound of that multiple: a larger difference always counts as a change. */
const MAX_USUAL_DIFFERENCE = 0.25;
/** Usual difference before any is known. */
const INITIAL_DIFFERENCE = 0.02;
/** Weight of the newest sample in the moving average of the difference. */
const DIFFERENCE_WEIGHT = 0.1;
/** Weight of the samples so far against the newest one in the reference. */
const REFERENCE_WEIGHT = 0.8;
/** Choices in a sample, as a multiple of the number of counters, below which it is too small to compare. */
const MIN_CHOICES_PER_COUNTER = 1;

/** Comparison of samples of the choices of experts. */
export type PopularityChange = Readonly<{
	/** Compares the counts since the last sample, by layer and expert, with the samples before; returns whether the popularity has changed. */
	observe: (counts: readonly number[]) => boolean;
}>;

/** Cosine of the angle between two lists of counts, from 0 to 1. */
export function measureSimilarity(left: readonly number[], right: readonly number[]): number {
	const product = (a: readonly number[], b: readonly number[]) => sum(a.map((value, i) => value * (b[i] ?? 0)));
	return product(left, right) / Math.max(Number.MIN_VALUE, Math.sqrt(product(left, left) * product(right, right)));
}

/** Creates a detector without samples. */
export function createPopularityChange(): PopularityChange {
	let reference: readonly number[] | undefined;
	let usualDifference = INITIAL_DIFFERENCE;
	return {
		observe(counts) {
			if (sum(counts) < counts.length * MIN_CHOICES_PER_COUNTER) {
				return false;
			}

			if (reference?.length !== counts.length) {
				reference = counts;
				return false;
			}

			const difference = 1 - measureSimilarity(reference, counts);
			if (difference > Math.min(MAX_USUAL_DIFFERENCE, Math.max(MIN_CHANGED_DIFFERENCE, usualDifference * CHANGED_DIFFERENCE_FACTOR))) {
				reference = counts;
				return true;
			}

			usualDifference += (difference - usualDifference) * DIFFERENCE_WEIGHT;
			reference = reference.map((value, i) => (value * REFERENCE_WEIGHT) + (counts[i] ?? 0));
			return false;
		},
	};
}
