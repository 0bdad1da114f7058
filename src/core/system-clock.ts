import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** Sleeps until the timer fires or `signal` aborts; never rejects. */
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

/** The system clock. */
export const systemClock: Clock = {
	now: () => new Date(),
	monotonicMillis: () => performance.now(),
	sleep: sleepOnTimer,
};
