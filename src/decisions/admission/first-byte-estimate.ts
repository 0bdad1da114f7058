/** Weight of the latest measurement in the moving averages. */
const MEASUREMENT_WEIGHT = 0.05;
/** Initial margin above the mean, in mean deviations. */
const INITIAL_MARGIN_DEVIATIONS = 2;
/** Largest margin above the mean, in mean deviations. */
const MAX_MARGIN_DEVIATIONS = 4;
/** Increase of the margin after one late response, in mean deviations. */
const LATE_MARGIN_STEP = 0.2;
/** Fraction of the allowed share of late responses that the margin aims for. */
const TARGET_LATE_SHARE_FACTOR = 0.5;
/** Half-life of an estimate without new measurements; a class that was refused is thus tried again. */
const HALF_LIFE_MILLIS = 2000;

/** Estimates the time from dispatch to the first token or byte for one class. */
export type FirstByteEstimate = Readonly<{
	note: (millis: number, isLate: boolean, nowMillis: number) => void;
	/** Time that only the allowed share of late requests exceeds, in milliseconds; 0 before the first measurement. */
	read: (nowMillis: number) => number;
}>;

/**
 * Creates an estimate without measurements for a class that allows a share of `lateShare` late responses.
 *
 * The margin over the mean is controlled by the late responses themselves: it grows with each late one and shrinks with each
 * other one, in such steps that it is stable when half of the allowed share is late.
 */
export function createFirstByteEstimate(lateShare: number): FirstByteEstimate {
	const targetLateShare = lateShare * TARGET_LATE_SHARE_FACTOR;
	const onTimeMarginStep = (LATE_MARGIN_STEP * targetLateShare) / (1 - targetLateShare);
	let mean: number | undefined;
	let deviation = 0;
	let marginDeviations = INITIAL_MARGIN_DEVIATIONS;
	let measuredAtMillis = 0;

	return {
		note(millis, isLate, nowMillis) {
			mean ??= millis;
			deviation += (Math.abs(millis - mean) - deviation) * MEASUREMENT_WEIGHT;
			mean += (millis - mean) * MEASUREMENT_WEIGHT;
			marginDeviations = Math.min(MAX_MARGIN_DEVIATIONS, Math.max(0, marginDeviations + (isLate ? LATE_MARGIN_STEP : -onTimeMarginStep)));
			measuredAtMillis = nowMillis;
		},
		read(nowMillis) {
			const decay = 2 ** ((measuredAtMillis - nowMillis) / HALF_LIFE_MILLIS);
			return mean === undefined ? 0 : (mean + (deviation * marginDeviations)) * decay;
		},
	};
}
