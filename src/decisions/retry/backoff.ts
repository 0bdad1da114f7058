import type {RandomSource} from '../random.js';

/** Delays before retries, in milliseconds and before jitter. */
export type BackoffOptions = Readonly<{initialMillis: number; maxMillis: number}>;

/** Delay behind `failures` earlier retries: exponential, with full jitter above its half. */
export function chooseBackoffMillis({initialMillis: firstMillis, maxMillis}: BackoffOptions, failures: number, random: RandomSource): number {
	return Math.min(maxMillis, firstMillis * (2 ** failures)) * (0.5 + (random() / 2));
}
