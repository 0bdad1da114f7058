import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import type {CallerListener} from './caller-listener.js';
import {
	DRAIN_POLL_INTERVAL_MILLIS, GRACE_SHARE_LISTENING, GRACE_SHARE_STREAMS, GRACE_SHARE_CALLS,
} from './gateway-constants.js';

/** Dependencies of a drain. */
export type DrainDeps = Readonly<{
	clock: Clock;
	log: Log;
	listener: CallerListener;
	/** Time until the process must have exited, in milliseconds. */
	graceMillis: number;
	/** Called once new streams could no longer end in time. */
	stopAcceptingStreams: () => void;
}>;

/**
 * Drains a gateway whose address callers may still have cached. It first closes each connection after its answer, then refuses
 * new streams, then stops accepting connections; calls in flight get the rest of the grace period. Resolves to the number of
 * calls that were cut off.
 */
export async function drainGateway({clock, log, listener, graceMillis, stopAcceptingStreams}: DrainDeps): Promise<number> {
	const startedAtMillis = clock.monotonicMillis();
	const sleepUntil = async (share: number) => clock.sleep(startedAtMillis + (graceMillis * share) - clock.monotonicMillis());
	listener.disableKeepAlive();
	await sleepUntil(GRACE_SHARE_STREAMS);
	stopAcceptingStreams();
	log.info('takes no streams any more', {open: listener.countOpenCalls()});
	await sleepUntil(GRACE_SHARE_LISTENING);
	listener.stopListening();
	log.info('listens no more', {open: listener.countOpenCalls()});
	while (listener.countOpenCalls() > 0 && clock.monotonicMillis() - startedAtMillis < graceMillis * GRACE_SHARE_CALLS) {
		// eslint-disable-next-line no-await-in-loop -- Polls sequentially.
		await clock.sleep(DRAIN_POLL_INTERVAL_MILLIS);
	}

	const cutOff = listener.countOpenCalls();
	listener.closeAllConnections();
	return cutOff;
}
