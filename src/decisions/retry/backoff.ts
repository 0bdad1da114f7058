import type {RandomSource} from '../random.js';

/** Delays before retries, in milliseconds and before jitter. */
export type BackoffOptions = Readonly<{initialMillis: number; maxMillis: number}>;

/** Chooses the delay after `failures` earlier retries: exponential, with jitter over its upper half. */
export function chooseBackoffMillis({initialMillis, maxMillis}: BackoffOptions, failures: number, random: RandomSource): number {
	return Math.min(maxMillis, initialMillis * (2 ** failures)) * (0.5 + (random() / 2));
}
