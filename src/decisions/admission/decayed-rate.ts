/** A count that decays exponentially with a time constant, so that it can be read as a rate. */
export type DecayedCount = Readonly<{value: number; atMillis: number}>;

export const emptyCount: DecayedCount = {value: 0, atMillis: 0};

function decay(count: DecayedCount, nowMillis: number, timeConstantMillis: number): number {
	return count.value * Math.exp((count.atMillis - nowMillis) / timeConstantMillis);
}

/** Returns the count after one more event. */
export function addEvent(count: DecayedCount, nowMillis: number, timeConstantMillis: number): DecayedCount {
	return {value: decay(count, nowMillis, timeConstantMillis) + 1, atMillis: nowMillis};
}

/** Events per millisecond. */
export function readRate(count: DecayedCount, nowMillis: number, timeConstantMillis: number): number {
	return decay(count, nowMillis, timeConstantMillis) / timeConstantMillis;
}
