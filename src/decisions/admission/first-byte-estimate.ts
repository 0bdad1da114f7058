/** Weight of the latest measurement. */
const WEIGHT = 0.05;
/** Mean deviations above the mean that are allowed for at first. */
const INITIAL_DEVIATIONS = 2;
/** Most mean deviations that are allowed for. */
const MAX_DEVIATIONS = 4;
/** Change of the deviations after one late answer. */
const LATE_STEP = 0.2;
/** Part of the target for late answers that is aimed at. */
const AIMED_PART = 0.5;
/** Time in which an estimate that is not measured any more halves, so that a class that was refused is tried again. */
const HALF_LIFE_MILLIS = 2000;

/** Estimate of the time from dispatch to the first token or byte of one class. */
export type FirstByteEstimate = Readonly<{
	note: (millis: number, isLate: boolean, nowMillis: number) => void;
	/** A time that all but the allowed share of late requests stay under, in milliseconds; 0 before the first measurement. */
	read: (nowMillis: number) => number;
}>;

/**
 * Creates an estimate without measurements for a class that may be late in `lateShare` of its answers.
 *
 * The margin over the mean follows the late answers themselves: it grows with each and shrinks with each other one, in such
 * steps that it rests where half of the allowed share is late.
 */
export function createFirstByteEstimate(lateShare: number): FirstByteEstimate {
	const aimed = lateShare * AIMED_PART;
	const inTimeStep = (LATE_STEP * aimed) / (1 - aimed);
	let mean: number | undefined;
	let deviation = 0;
	let deviations = INITIAL_DEVIATIONS;
	let notedAtMillis = 0;

	return {
		note(millis, isLate, nowMillis) {
			mean ??= millis;
			deviation += (Math.abs(millis - mean) - deviation) * WEIGHT;
			mean += (millis - mean) * WEIGHT;
			deviations = Math.min(MAX_DEVIATIONS, Math.max(0, deviations + (isLate ? LATE_STEP : -inTimeStep)));
			notedAtMillis = nowMillis;
		},
		read(nowMillis) {
			const fade = 2 ** ((notedAtMillis - nowMillis) / HALF_LIFE_MILLIS);
			return mean === undefined ? 0 : (mean + (deviation * deviations)) * fade;
		},
	};
}
