/** Weight of the latest measurement. */
const WEIGHT = 0.02;
/** Mean deviations above the mean that are allowed for. */
const DEVIATIONS = 2;

/** Estimate of the time from dispatch to the first token or byte. */
export type FirstByteEstimate = Readonly<{
	note: (millis: number) => void;
	/** A time that most requests stay under, in milliseconds; 0 before the first measurement. */
	read: () => number;
}>;

/** Creates an estimate without measurements. */
export function createFirstByteEstimate(): FirstByteEstimate {
	let mean: number | undefined;
	let deviation = 0;

	return {
		note(millis) {
			mean ??= millis;
			deviation += (Math.abs(millis - mean) - deviation) * WEIGHT;
			mean += (millis - mean) * WEIGHT;
		},
		read: () => mean === undefined ? 0 : mean + (deviation * DEVIATIONS),
	};
}
