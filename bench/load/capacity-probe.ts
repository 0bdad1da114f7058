import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {round} from './distributions.js';

/** Calls before the clock is started. */
const WARM_UP_CALLS = 200;

/** Processor time of one call in microseconds, as the mean over `calls` calls. */
export function measureMicros(calls: number, run: (i: number) => void): number {
	for (let i = 0; i < Math.min(calls, WARM_UP_CALLS); i++) {
		run(i);
	}

	const before = process.cpuUsage();
	for (let i = 0; i < calls; i++) {
		run(i);
	}

	const used = process.cpuUsage(before);
	return round((used.user + used.system) / calls, 1);
}

/** Heap that `create` leaves in use, in bytes for each of `count` items. Runs best with `--expose-gc`. */
export function measureBytesEach(count: number, create: () => unknown): number {
	globalThis.gc?.();
	const before = process.memoryUsage().heapUsed;
	const kept = create();
	globalThis.gc?.();
	const bytes = process.memoryUsage().heapUsed - before;
	return kept === undefined ? 0 : Math.round(bytes / count);
}

/** Wall-clock time of one call in milliseconds. */
export function measureMillis(run: () => void): number {
	const before = performance.now();
	run();
	return round(performance.now() - before, 1);
}
