import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import type {CallerListener} from './caller-listener.js';
import {
	DRAIN_POLL_INTERVAL_MILLIS, GRACE_SHARE_LISTENING, GRACE_SHARE_STREAMS, GRACE_SHARE_CALLS,
} from './gateway-constants.js';

/** What a drain needs. */
export type DrainDeps = Readonly<{
	clock: Clock;
	log: Log;
	listener: CallerListener;
	/** Time until the process must have ended, in milliseconds. */
	graceMillis: number;
	/** Called once streams that begin now would not end in time. */
	stopAcceptingStreams: () => void;
}>;

/**
 * Stops a gateway while callers still have its address: connections end behind their answers, later only short calls are taken,
 * then no connections, and calls under way get the rest of the grace. Resolves to the number of calls broken off.
 */
export async function drainGateway({clock, log, listener, graceMillis, stopAcceptingStreams: onStreamsOver}: DrainDeps): Promise<number> {
	const startedAtMillis = clock.monotonicMillis();
	const sleepUntil = async (share: number) => clock.sleep(startedAtMillis + (graceMillis * share) - clock.monotonicMillis());
	listener.disableKeepAlive();
	await sleepUntil(GRACE_SHARE_STREAMS);
	onStreamsOver();
	log.info('takes no streams any more', {open: listener.countOpenCalls()});
	await sleepUntil(GRACE_SHARE_LISTENING);
	listener.stopListening();
	log.info('listens no more', {open: listener.countOpenCalls()});
	while (listener.countOpenCalls() > 0 && clock.monotonicMillis() - startedAtMillis < graceMillis * GRACE_SHARE_CALLS) {
		// eslint-disable-next-line no-await-in-loop -- One look after the other.
		await clock.sleep(DRAIN_POLL_INTERVAL_MILLIS);
	}

	const cutOff = listener.countOpenCalls();
	listener.closeAllConnections();
	return cutOff;
}
