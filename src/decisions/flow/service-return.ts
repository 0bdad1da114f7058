/**
 * Decides how long a request waits for a service that serves nobody: one whose rank group has broken and forms again, or whose backend servers
 * are not listed yet after a loss of power. Callers come back once or twice only, so a refusal in a short outage is often the last one.
 */
import {MAX_OUTAGE_WAITED_FOR_MILLIS, MAX_RETURN_WAIT_DEADLINE_SHARE, MAX_RETURN_WAIT_MILLIS} from './flow-constants.js';

/** Longest wait of a request from its arrival, in milliseconds; what is left of its deadline must suffice for serving it. */
export function chooseReturnWaitMillis(deadlineMillis = Infinity): number {
	return Math.min(MAX_RETURN_WAIT_MILLIS, deadlineMillis * MAX_RETURN_WAIT_DEADLINE_SHARE);
}

/** Whether backend servers of a service are available, and since when not. */
export type ServiceAvailability = Readonly<{
	note: (isAvailable: boolean, nowMillis: number) => void;
	/** Whether none is available, but probably one will be soon. */
	isReturnExpected: (nowMillis: number) => boolean;
}>;

/** Creates a record of a service that this process doesn't know yet. */
export function createServiceAvailability(nowMillis: number): ServiceAvailability {
	let isAvailable = false;
	let lostAtMillis = nowMillis;

	return {
		note(next, changedAtMillis) {
			lostAtMillis = isAvailable && !next ? changedAtMillis : lostAtMillis;
			isAvailable = next;
		},
		isReturnExpected: atMillis => !isAvailable && atMillis - lostAtMillis < MAX_OUTAGE_WAITED_FOR_MILLIS,
	};
}
