import process from 'node:process';
import type {Log} from '../observability/log.js';

/** Resolves with the first signal to stop; later ones are only logged, so that a drain is not cut short. */
export async function waitForStopSignal(log: Log): Promise<NodeJS.Signals> {
	return new Promise(resolve => {
		for (const signal of ['SIGTERM', 'SIGINT'] as const) {
			process.on(signal, () => {
				log.info('stop signal', {signal});
				resolve(signal);
			});
		}
	});
}
