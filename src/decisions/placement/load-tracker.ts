/** Steps over which a load that does not change is averaged. */
const LONG_WINDOW_STEPS = 64;
/** Steps over which a changed load is averaged. */
const SHORT_WINDOW_STEPS = 6;
/** Standard errors that the short average must lie off the long one for the load to count as changed. */
const CHANGE_SIGNIFICANCE = 4;

/** Estimates the load of the experts of one layer from noisy counts. */
export type LoadTracker = {
	/** Takes the tokens of each expert over `steps` steps. */
	readonly observe: (tokens: readonly number[], steps: number) => void;
	/** Expected tokens of each expert in a step. */
	readonly readLoads: () => readonly number[];
	/** Standard error of each expected load, in tokens. */
	readonly readErrors: () => readonly number[];
	/** Whether nothing was observed yet. */
	readonly isEmpty: () => boolean;
};

type ExpertEstimate = Readonly<{
	/** Average over up to {@link LONG_WINDOW_STEPS}, in tokens a step. */
	long: number;
	/** Steps that the long average rests on. */
	longSteps: number;
	/** Average over up to {@link SHORT_WINDOW_STEPS}, in tokens a step. */
	short: number;
	shortSteps: number;
	/** Variance of the count of one step, from the differences of successive counts, which a slow drift hardly touches. */
	variance: number;
	varianceSteps: number;
	/** The count before, in tokens a step. */
	last: number;
}>;

const NO_ESTIMATE: ExpertEstimate = {
	long: 0, longSteps: 0, short: 0, shortSteps: 0, variance: 0, varianceSteps: 0, last: 0,
};

/** Averages `value` over `steps` into `mean`, which rests on `meanSteps`. */
function mix(mean: number, meanSteps: number, value: number, steps: number): number {
	return mean + ((value - mean) * steps / (meanSteps + steps));
}

function isChanged(estimate: ExpertEstimate): boolean {
	if (estimate.longSteps <= estimate.shortSteps) {
		return false;
	}

	const variance = estimate.variance * ((1 / estimate.shortSteps) + (1 / estimate.longSteps));
	return Math.abs(estimate.short - estimate.long) > CHANGE_SIGNIFICANCE * Math.sqrt(variance);
}

function updateEstimate(before: ExpertEstimate, value: number, steps: number): ExpertEstimate {
	const keptLong = Math.min(before.longSteps, Math.max(0, LONG_WINDOW_STEPS - steps));
	const keptShort = Math.min(before.shortSteps, Math.max(0, SHORT_WINDOW_STEPS - steps));
	const keptVariance = Math.min(before.varianceSteps, Math.max(0, LONG_WINDOW_STEPS - steps));
	// A single observation says nothing about its variance; that of a Poisson count stands in for it.
	const deviation = before.varianceSteps > 0 ? steps * ((value - before.last) ** 2) / 2 : value;
	const estimate = {
		long: mix(before.long, keptLong, value, steps),
		longSteps: keptLong + steps,
		short: mix(before.short, keptShort, value, steps),
		shortSteps: keptShort + steps,
		variance: mix(before.variance, keptVariance, deviation, steps),
		varianceSteps: keptVariance + steps,
		last: value,
	};
	return isChanged(estimate) ? {...estimate, long: estimate.short, longSteps: estimate.shortSteps} : estimate;
}

/** Creates a tracker for `experts` experts. */
export function createLoadTracker(experts: number): LoadTracker {
	let estimates: readonly ExpertEstimate[] = Array.from({length: experts}, () => NO_ESTIMATE);

	return {
		observe(tokens, steps) {
			estimates = estimates.map((estimate, expert) => updateEstimate(estimate, (tokens[expert] ?? 0) / steps, steps));
		},
		readLoads: () => estimates.map(({long}) => long),
		readErrors: () => estimates.map(({variance, longSteps}) => Math.sqrt(variance / Math.max(1, longSteps))),
		isEmpty: () => estimates.every(({longSteps}) => longSteps === 0),
	};
}
