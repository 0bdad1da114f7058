/**
 * Detects the outage of a whole service, as when a rank group has lost an engine or everything restarts: all its backend
 * servers refuse at the same time, and an early retry would only be refused again. Callers are told to retry, with jitter, when the
 * service has probably recovered.
 */
import type {RandomSource} from '../random.js';
import {
	MAX_OUTAGE_RETRY_AFTER_MILLIS, MAX_RETRY_AFTER_DEADLINE_SHARE, MIN_OUTAGE_RETRY_AFTER_MILLIS, RECENT_PROGRESS_MILLIS,
} from './flow-constants.js';

/** Tracks whether one service serves any requests. */
export type OutageDetector = Readonly<{
	/** Records that a backend server serves a request. */
	noteServed: (nowMillis: number) => void;
	/** Time after which a refused caller should retry, in milliseconds; undefined while the service serves other requests. */
	chooseRetryAfterMillis: (nowMillis: number, deadlineMillis: number | undefined) => number | undefined;
}>;

/** Creates a detector for a service that has not served a request yet. */
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

			const jitterMillis = MAX_OUTAGE_RETRY_AFTER_MILLIS - MIN_OUTAGE_RETRY_AFTER_MILLIS;
			return Math.round(Math.min(deadlineMillis * MAX_RETRY_AFTER_DEADLINE_SHARE, MIN_OUTAGE_RETRY_AFTER_MILLIS + (random() * jitterMillis)));
		},
	};
}
