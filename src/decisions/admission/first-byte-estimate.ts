/** Weight of the latest measurement. */
const WEIGHT = 0.05;
/** Mean deviations above the mean that are allowed for. */
const DEVIATIONS = 2;
/** Time in which an estimate that is not measured any more halves, so that a class that was refused is tried again. */
const HALF_LIFE_MILLIS = 2000;

/** Estimate of the time from dispatch to the first token or byte. */
export type FirstByteEstimate = Readonly<{
	note: (millis: number, nowMillis: number) => void;
	/** A time that most requests stay under, in milliseconds; 0 before the first measurement. */
	read: (nowMillis: number) => number;
}>;

/** Creates an estimate without measurements. */
export function createFirstByteEstimate(): FirstByteEstimate {
	let mean: number | undefined;
	let deviation = 0;
	let notedAtMillis = 0;

	return {
		note(millis, nowMillis) {
			mean ??= millis;
			deviation += (Math.abs(millis - mean) - deviation) * WEIGHT;
			mean += (millis - mean) * WEIGHT;
			notedAtMillis = nowMillis;
		},
		read(nowMillis) {
			const fade = 2 ** ((notedAtMillis - nowMillis) / HALF_LIFE_MILLIS);
			return mean === undefined ? 0 : (mean + (deviation * DEVIATIONS)) * fade;
		},
	};
}
