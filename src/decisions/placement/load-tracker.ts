/** Steps over which a stable load is averaged. */
const LONG_WINDOW_STEPS = 64;
/** Steps over which a changed load is averaged. */
const SHORT_WINDOW_STEPS = 6;
/** Difference between the short and the long average, in standard errors, above which the load counts as changed. */
const CHANGE_SIGNIFICANCE = 4;

/** Estimates the load of the experts of one layer from noisy counts. */
export type LoadTracker = {
	/** Records the tokens of each expert over `steps` steps. */
	readonly observe: (tokens: readonly number[], steps: number) => void;
	/** Expected tokens of each expert per step. */
	readonly readLoads: () => readonly number[];
	/** Standard error of each expected load, in tokens. */
	readonly readErrors: () => readonly number[];
	readonly isEmpty: () => boolean;
};

type ExpertEstimate = Readonly<{
	/** Average over up to {@link LONG_WINDOW_STEPS}, in tokens per step. */
	longMean: number;
	/** Number of steps in the long average. */
	longSteps: number;
	/** Average over up to {@link SHORT_WINDOW_STEPS}, in tokens per step. */
	shortMean: number;
	shortSteps: number;
	/** Variance of the count of one step, from the differences of successive counts, which a slow drift hardly affects. */
	variance: number;
	varianceSteps: number;
	/** Previous count, in tokens per step. */
	last: number;
}>;

const EMPTY_ESTIMATE: ExpertEstimate = {
	longMean: 0, longSteps: 0, shortMean: 0, shortSteps: 0, variance: 0, varianceSteps: 0, last: 0,
};

/** Updates `mean`, the average over `meanSteps`, with the average `value` over `steps`. */
function updateMean(mean: number, meanSteps: number, value: number, steps: number): number {
	return mean + ((value - mean) * steps / (meanSteps + steps));
}

function isChanged(estimate: ExpertEstimate): boolean {
	if (estimate.longSteps <= estimate.shortSteps) {
		return false;
	}

	const variance = estimate.variance * ((1 / estimate.shortSteps) + (1 / estimate.longSteps));
	return Math.abs(estimate.shortMean - estimate.longMean) > CHANGE_SIGNIFICANCE * Math.sqrt(variance);
}

function updateEstimate(before: ExpertEstimate, value: number, steps: number): ExpertEstimate {
	const previousLongSteps = Math.min(before.longSteps, Math.max(0, LONG_WINDOW_STEPS - steps));
	const previousShortSteps = Math.min(before.shortSteps, Math.max(0, SHORT_WINDOW_STEPS - steps));
	const previousVarianceSteps = Math.min(before.varianceSteps, Math.max(0, LONG_WINDOW_STEPS - steps));
	// A single observation does not show its variance; the variance of a Poisson count is used instead.
	const deviation = before.varianceSteps > 0 ? steps * ((value - before.last) ** 2) / 2 : value;
	const estimate = {
		longMean: updateMean(before.longMean, previousLongSteps, value, steps),
		longSteps: previousLongSteps + steps,
		shortMean: updateMean(before.shortMean, previousShortSteps, value, steps),
		shortSteps: previousShortSteps + steps,
		variance: updateMean(before.variance, previousVarianceSteps, deviation, steps),
		varianceSteps: previousVarianceSteps + steps,
		last: value,
	};
	return isChanged(estimate) ? {...estimate, longMean: estimate.shortMean, longSteps: estimate.shortSteps} : estimate;
}

/** Creates a tracker for `experts` experts. */
export function createLoadTracker(experts: number): LoadTracker {
	let estimates: readonly ExpertEstimate[] = Array.from({length: experts}, () => EMPTY_ESTIMATE);

	return {
		observe(tokens, steps) {
			estimates = estimates.map((estimate, expert) => updateEstimate(estimate, (tokens[expert] ?? 0) / steps, steps));
		},
		readLoads: () => estimates.map(({longMean}) => longMean),
		readErrors: () => estimates.map(({variance, longSteps}) => Math.sqrt(variance / Math.max(1, longSteps))),
		isEmpty: () => estimates.every(({longSteps}) => longSteps === 0),
	};
}
