/** Weight of the latest measurement in the moving average. */
const MEASUREMENT_WEIGHT = 0.1;
/** Bounds of one measured ratio. */
const RATIO_BOUNDS = {lowest: 0.1, highest: 50};
/** Half-life with which a factor without new measurements returns to the mean of all backend servers. */
const HALF_LIFE_MILLIS = 20_000;

/** Ratio of the measured to the expected time to first token of a backend server, as a moving average. */
export type SlowFactor = Readonly<{value: number; atMillis: number}>;

/** Ratio of the measured to the expected time to first token, within bounds. */
export function computeSlowRatio(measuredMillis: number, expectedMillis: number): number {
	const ratio = measuredMillis / Math.max(1, expectedMillis);
	return Math.min(RATIO_BOUNDS.highest, Math.max(RATIO_BOUNDS.lowest, ratio));
}

/**
 * Returns the current factor. Without new measurements it returns to the mean of all backend servers, so that a recovered
 * backend server is tried again.
 */
export function readSlowFactor(factor: SlowFactor | undefined, meanSlowFactor: number, nowMillis: number): number {
	return factor ? meanSlowFactor + ((factor.value - meanSlowFactor) * (2 ** ((factor.atMillis - nowMillis) / HALF_LIFE_MILLIS))) : meanSlowFactor;
}

/** Returns the factor after one more measured ratio. */
export function addSlowRatio(factor: SlowFactor | undefined, ratio: number, meanSlowFactor: number, nowMillis: number): SlowFactor {
	const before = readSlowFactor(factor, meanSlowFactor, nowMillis);
	return {value: before + ((ratio - before) * MEASUREMENT_WEIGHT), atMillis: nowMillis};
}
