/**
 * Detects the outage of a whole service, as when a rank group has lost an engine or everything restarts: all its backend
 * servers refuse at once, and an early retry would only be refused again. Callers are told to retry, with jitter, when the
 * service has probably recovered.
 */
import type {RandomSource} from '../random.js';
import {
	MAX_OUTAGE_RETURN_MILLIS, MAX_RETURN_SHARE, MIN_OUTAGE_RETURN_MILLIS, OTHERS_ALIVE_MILLIS,
} from './flow-constants.js';

/** Tracks whether one service serves any requests. */
export type OutageWatch = Readonly<{
	/** Records that a backend server serves a request. */
	noteServed: (nowMillis: number) => void;
	/** Time after which a refused caller should retry, in milliseconds; undefined while the service serves other requests. */
	chooseReturnMillis: (nowMillis: number, deadlineMillis: number | undefined) => number | undefined;
}>;

/** Creates a detector for a service that has not served a request yet. */
export function createOutageWatch(random: RandomSource): OutageWatch {
	let servedAtMillis = -Infinity;
	return {
		noteServed(nowMillis) {
			servedAtMillis = nowMillis;
		},
		chooseReturnMillis(nowMillis, deadlineMillis = Infinity) {
			if (nowMillis - servedAtMillis < OTHERS_ALIVE_MILLIS) {
				return undefined;
			}

			const jitterMillis = MAX_OUTAGE_RETURN_MILLIS - MIN_OUTAGE_RETURN_MILLIS;
			return Math.round(Math.min(deadlineMillis * MAX_RETURN_SHARE, MIN_OUTAGE_RETURN_MILLIS + (random() * jitterMillis)));
		},
	};
}
