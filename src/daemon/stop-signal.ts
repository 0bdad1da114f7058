import process from 'node:process';
import type {Log} from '../observability/log.js';

/** Resolves on the first stop signal; later ones are only logged, so that they do not cut a drain short. */
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
