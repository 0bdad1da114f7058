import process from 'node:process';
import type {Log} from '../observability/log.js';

/** Stop signals of this process. */
export type StopSignals = Readonly<{
	/** Resolves on the first signal, which may have come before this call; later ones are only logged, so that they do not cut a drain short. */
	wait: (log: Log) => Promise<NodeJS.Signals>;
}>;

/** Catches the stop signals from now on, which by default end the process; they are logged once there is a log. */
export function catchStopSignals(): StopSignals {
	const early: NodeJS.Signals[] = [];
	let handle = (signal: NodeJS.Signals) => {
		early.push(signal);
	};

	const receive = (signal: NodeJS.Signals) => {
		handle(signal);
	};

	process.on('SIGTERM', receive);
	process.on('SIGINT', receive);

	return {
		wait: async log => new Promise(resolve => {
			handle = signal => {
				log.info('stop signal', {signal});
				resolve(signal);
			};

			for (const signal of early) {
				handle(signal);
			}
		}),
	};
}
