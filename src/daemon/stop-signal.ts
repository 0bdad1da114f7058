import process from 'node:process';
import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';

/** Pause after a turn of the event loop has been noted, in milliseconds. */
const TURN_INTERVAL_MILLIS = 10;

/** A stop signal, and the monotonic time at which it came. */
export type StopSignal = Readonly<{signal: NodeJS.Signals; atMillis: number}>;

/** Stop signals of this process. */
export type StopSignals = Readonly<{
	/** The first signal; undefined until it comes. */
	read: () => StopSignal | undefined;
	/** Resolves on the first signal, which may have come before this call; later ones are only logged, so that they do not cut a drain short. */
	wait: (log: Log) => Promise<StopSignal>;
	/** To be called after the start of the process, whose modules block the event loop while they are loaded. */
	noteStarted: () => void;
}>;

/**
 * Catches the stop signals from now on, which by default end the process; they are logged once there is a log. A signal is handled only when the
 * event loop turns; during the start it counts from the earliest time at which it can have come.
 */
export function catchStopSignals(clock: Pick<Clock, 'monotonicMillis'>): StopSignals {
	let first: StopSignal | undefined;
	const early: StopSignal[] = [];
	let handle = (stop: StopSignal) => {
		early.push(stop);
	};

	let isStarting = true;
	/** Signals that had come by then have been handled. */
	let handledUntilMillis = clock.monotonicMillis();
	const noteTurn = () => {
		const turnMillis = clock.monotonicMillis();
		// The event loop looks for signals between its timers and its immediates.
		setImmediate(() => {
			handledUntilMillis = turnMillis;
			if (isStarting) {
				setTimeout(noteTurn, TURN_INTERVAL_MILLIS).unref();
			}
		});
	};

	noteTurn();
	const receive = (signal: NodeJS.Signals) => {
		const stop = {signal, atMillis: isStarting ? handledUntilMillis : clock.monotonicMillis()};
		first ??= stop;
		handle(stop);
	};

	process.on('SIGTERM', receive);
	process.on('SIGINT', receive);
	return {
		read: () => first,
		wait: async log => new Promise(resolve => {
			handle = stop => {
				log.info('stop signal', {signal: stop.signal});
				resolve(stop);
			};

			for (const stop of early) {
				handle(stop);
			}
		}),
		noteStarted() {
			// A signal may have come while the last part of the start blocked the event loop.
			setTimeout(() => {
				setImmediate(() => {
					isStarting = false;
				});
			}, 0).unref();
		},
	};
}
