import process from 'node:process';
import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';

/** A stop signal, and the monotonic time at which it came. */
export type StopSignal = Readonly<{signal: NodeJS.Signals; atMillis: number}>;

/** Stop signals of this process. */
export type StopSignals = Readonly<{
	/** The first signal; undefined until it comes. */
	read: () => StopSignal | undefined;
	/** Resolves on the first signal, which may have come before this call; later ones are only logged, so that they do not cut a drain short. */
	wait: (log: Log) => Promise<StopSignal>;
}>;

/** Catches the stop signals from now on, which by default end the process; they are logged once there is a log. */
export function catchStopSignals(clock: Pick<Clock, 'monotonicMillis'>): StopSignals {
	let first: StopSignal | undefined;
	const early: StopSignal[] = [];
	let handle = (stop: StopSignal) => {
		early.push(stop);
	};

	const receive = (signal: NodeJS.Signals) => {
		const stop = {signal, atMillis: clock.monotonicMillis()};
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
	};
}
