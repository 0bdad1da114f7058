/**
 * Chooses the ranks of a lock-step group that get no requests because they are slow. All ranks run each pass together, so requests at one slow
 * rank delay the streams of all others; without requests of its own it only contributes its share of the experts, which the planner
 * of the expert map reduces. Load pattern: one rank in seven to sixteen takes 1.6 to 12 times as long for some seconds.
 */

/** Factor of the usual time of a pass from which a rank gets no requests. */
const SLOW_FACTOR = 1.4;
/** Factor below which it gets requests again. */
const RECOVERED_FACTOR = 1.2;
/** Largest share of the ranks that get no requests, so that the others are not overloaded. */
const MAX_SLOW_SHARE = 0.3;

/** Returns the slow ranks in ascending order, from the factor of each rank and those that were slow `before`. */
export function chooseSlowRanks(slowFactors: readonly number[], before: readonly number[]): readonly number[] {
	return [...slowFactors.entries()]
		.filter(([rank, factor]) => factor >= (before.includes(rank) ? RECOVERED_FACTOR : SLOW_FACTOR))
		.toSorted(([, left], [, right]) => right - left)
		.slice(0, Math.floor(slowFactors.length * MAX_SLOW_SHARE))
		.map(([rank]) => rank)
		.toSorted((left, right) => left - right);
}
