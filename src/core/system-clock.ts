import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** Sleeps on a timer that ends early, without an error, when `signal` aborts. */
async function sleepOnTimer(millis: number, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			clearTimeout(timer);
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const timer = setTimeout(finish, millis);
		signal?.addEventListener('abort', finish);
	});
}

/** The clock of the machine. */
export const systemClock: Clock = {
	now: () => new Date(),
	monotonicMillis: () => performance.now(),
	sleep: sleepOnTimer,
};
