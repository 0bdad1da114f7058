/**
 * Answers the outage of a whole service, as when a rank group has lost an engine or everything starts anew: all its backend
 * servers refuse at once, and whoever comes back soon is only refused again. Callers are asked back, spread out, for the time
 * at which the service is likely to be there.
 */
import type {RandomSource} from '../random.js';
import {
	MAX_OUTAGE_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_DEADLINE_SHARE, MIN_OUTAGE_RETRY_AFTER_MILLIS, RECENT_PROGRESS_MILLIS,
} from './flow-constants.js';

/** Whether one service serves at all. */
export type OutageDetector = Readonly<{
	/** Takes a sign that a backend server serves a request. */
	noteServed: (nowMillis: number) => void;
	/** Time after which a refused caller should come back, in milliseconds; undefined while the service serves others. */
	chooseRetryAfterMillis: (nowMillis: number, deadlineMillis: number | undefined) => number | undefined;
}>;

/** Creates a watch of a service that has not served yet. */
export function createOutageDetector(random: RandomSource): OutageDetector {
	let servedAtMillis = -Infinity;
	return {
		noteServed(nowMillis) {
			servedAtMillis = nowMillis;
		},
		chooseRetryAfterMillis(nowMillis, deadlineMillis = Infinity) {
			if (nowMillis - servedAtMillis < RECENT_PROGRESS_MILLIS) {
				return undefined;
			}

			const spreadMillis = MAX_OUTAGE_RETRY_AFTER_MILLIS - MIN_OUTAGE_RETRY_AFTER_MILLIS;
			return Math.round(Math.min(deadlineMillis * MAX_RETRY_AFTER_DEADLINE_SHARE, MIN_OUTAGE_RETRY_AFTER_MILLIS + (random() * spreadMillis)));
		},
	};
}
