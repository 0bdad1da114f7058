/** A count that fades with a time constant, so that it can be read as a rate. */
export type DecayedCount = Readonly<{value: number; atMillis: number}>;

/** Counts nothing yet. */
export const emptyCount: DecayedCount = {value: 0, atMillis: 0};

function fade(count: DecayedCount, nowMillis: number, timeConstantMillis: number): number {
	return count.value * Math.exp((count.atMillis - nowMillis) / timeConstantMillis);
}

/** The count after one more event. */
export function addEvent(count: DecayedCount, nowMillis: number, timeConstantMillis: number): DecayedCount {
	return {value: fade(count, nowMillis, timeConstantMillis) + 1, atMillis: nowMillis};
}

/** Events a millisecond. */
export function readRate(count: DecayedCount, nowMillis: number, timeConstantMillis: number): number {
	return fade(count, nowMillis, timeConstantMillis) / timeConstantMillis;
}
