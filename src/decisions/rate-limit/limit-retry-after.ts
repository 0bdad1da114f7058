import {MAX_RETRY_AFTER_MILLIS, MIN_RETRY_AFTER_MILLIS} from '../flow/flow-constants.js';
import type {RandomSource} from '../random.js';

/**
 * Chooses when a caller refused for the limits of backend servers is told to come back, in milliseconds, spread so that callers do not
 * return together. `leftMillis` is the time until this entry may send a request, infinite if only other entries use the limits: then the
 * caller may be served as soon as it reaches one of those.
 */
export function chooseLimitRetryAfter(leftMillis: number, random: RandomSource): number {
	const baseMillis = Number.isFinite(leftMillis) ? Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, leftMillis)) : MIN_RETRY_AFTER_MILLIS;
	return Math.round(baseMillis * (1 + random()));
}
