import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import type {CallerListener} from './caller-listener.js';
import {DRAIN_CHECK_MILLIS, GRACE_MARGIN_MILLIS, STOP_LISTENING_MILLIS} from './gateway-constants.js';

/** What a drain needs. */
export type DrainDeps = Readonly<{
	clock: Clock;
	log: Log;
	listener: CallerListener;
	/** Time until the process must have ended, in milliseconds. */
	graceMillis: number;
}>;

/**
 * Stops a gateway: connections end behind their answers, then no new ones are taken, and calls under way get the rest of the
 * grace. Resolves to the number of calls broken off.
 */
export async function drainGateway({clock, log, listener, graceMillis}: DrainDeps): Promise<number> {
	const startedAtMillis = clock.monotonicMillis();
	listener.closeBetweenCalls();
	await clock.sleep(Math.min(STOP_LISTENING_MILLIS, graceMillis / 3));
	listener.stopListening();
	log.info('listens no more', {open: listener.countOpen()});
	while (listener.countOpen() > 0 && clock.monotonicMillis() - startedAtMillis < graceMillis - GRACE_MARGIN_MILLIS) {
		// eslint-disable-next-line no-await-in-loop -- One look after the other.
		await clock.sleep(DRAIN_CHECK_MILLIS);
	}

	const cutOff = listener.countOpen();
	listener.closeAll();
	return cutOff;
}
