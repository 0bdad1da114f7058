import {performance} from 'node:perf_hooks';
import type {Clock} from './clock.js';

/** Longest time that a timer of Node.js can wait, in milliseconds; it fires at once if it is to wait longer. */
const MAX_TIMER_MILLIS = (2 ** 31) - 1;

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

		const timer = setTimeout(finish, Math.min(millis, MAX_TIMER_MILLIS));
		signal?.addEventListener('abort', finish);
	});
}

/** The system clock. */
export const systemClock: Clock = {
	now: () => new Date(),
	monotonicMillis: () => performance.now(),
	sleep: sleepOnTimer,
};
