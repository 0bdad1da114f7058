/** Weight of the latest measurement. */
const WEIGHT = 0.1;
/** Bounds of one measurement. */
const BOUNDS = {lowest: 0.1, highest: 50};
/** Time in which a factor that is not measured any more comes back half the way to the usual one. */
const HALF_LIFE_MILLIS = 20_000;

/** Measured time to first token of a backend server over the expected one, smoothed. */
export type SlowFactor = Readonly<{value: number; atMillis: number}>;

/** Measured time to first token over the expected one, within bounds. */
export function computeSlowRatio(measuredMillis: number, expectedMillis: number): number {
	const ratio = measuredMillis / Math.max(1, expectedMillis);
	return Math.min(BOUNDS.highest, Math.max(BOUNDS.lowest, ratio));
}

/**
 * The factor now. Without measurements it returns to the usual one of all backend servers, so that one that has recovered is
 * tried again.
 */
export function readSlowFactor(factor: SlowFactor | undefined, usual: number, nowMillis: number): number {
	return factor ? usual + ((factor.value - usual) * (2 ** ((factor.atMillis - nowMillis) / HALF_LIFE_MILLIS))) : usual;
}

/** The factor after one more measured ratio. */
export function addSlowRatio(factor: SlowFactor | undefined, ratio: number, usual: number, nowMillis: number): SlowFactor {
	const before = readSlowFactor(factor, usual, nowMillis);
	return {value: before + ((ratio - before) * WEIGHT), atMillis: nowMillis};
}
