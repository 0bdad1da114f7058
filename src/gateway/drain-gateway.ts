import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import type {CallerListener} from './caller-listener.js';
import type {DrainSchedule} from './drain-schedule.js';
import {CUT_OFF_ANSWER_MILLIS, DRAIN_POLL_INTERVAL_MILLIS} from './gateway-constants.js';

/** Dependencies of a drain. */
export type DrainDeps = Readonly<{
	clock: Clock;
	log: Log;
	listener: CallerListener;
	schedule: DrainSchedule;
	/** Ends the calls in flight with an answer that says that their outcome is unknown. */
	endCalls: () => void;
}>;

/**
 * Drains a gateway whose address callers may still have cached. It first closes each connection after its answer, then stops accepting
 * connections; calls in flight get the rest of the grace period. Resolves to the number of calls that were cut off.
 */
export async function drainGateway({clock, log, listener, schedule, endCalls}: DrainDeps): Promise<number> {
	const {streamsUntilMillis, listeningUntilMillis, cutOffAtMillis} = schedule;
	const sleepUntil = async (millis: number) => clock.sleep(millis - clock.monotonicMillis());

	async function waitForNone(count: () => number, untilMillis: number): Promise<void> {
		while (count() > 0 && clock.monotonicMillis() < untilMillis) {
			// eslint-disable-next-line no-await-in-loop -- Polls sequentially.
			await clock.sleep(DRAIN_POLL_INTERVAL_MILLIS);
		}
	}

	listener.disableKeepAlive();
	await sleepUntil(streamsUntilMillis);
	log.info('takes no streams any more', {open: listener.countOpenCalls()});
	await sleepUntil(listeningUntilMillis);
	listener.stopListening();
	log.info('listens no more', {open: listener.countOpenCalls()});
	await waitForNone(() => listener.countOpenCalls() + listener.countReceivingConnections(), cutOffAtMillis);
	const cutOff = listener.countOpenCalls();
	const closeAtMillis = cutOffAtMillis + (cutOff > 0 ? CUT_OFF_ANSWER_MILLIS : 0);
	if (cutOff > 0) {
		endCalls();
		await waitForNone(listener.countOpenCalls, closeAtMillis);
	}

	listener.closeIdleConnections();
	await waitForNone(listener.countClosingConnections, closeAtMillis);

	listener.closeAllConnections();
	return cutOff;
}
