import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {round} from './distributions.js';

/** Maximum number of calls before the measurement begins. */
const WARM_UP_CALL_COUNT = 200;

/** Mean processor time of one call in microseconds over `callCount` calls. */
export function measureMicros(callCount: number, run: (i: number) => void): number {
	for (let i = 0; i < Math.min(callCount, WARM_UP_CALL_COUNT); i++) {
		run(i);
	}

	const cpuBefore = process.cpuUsage();
	for (let i = 0; i < callCount; i++) {
		run(i);
	}

	const cpuUsed = process.cpuUsage(cpuBefore);
	return round((cpuUsed.user + cpuUsed.system) / callCount, 1);
}

/** Heap retained by the result of `create`, in bytes for each of `count` items. More precise with `--expose-gc`. */
export function measureBytesEach(count: number, create: () => unknown): number {
	globalThis.gc?.();
	const bytesBefore = process.memoryUsage().heapUsed;
	const retained = create();
	globalThis.gc?.();
	const bytes = process.memoryUsage().heapUsed - bytesBefore;
	return retained === undefined ? 0 : Math.round(bytes / count);
}

/** Wall-clock time of one call in milliseconds. */
export function measureMillis(run: () => void): number {
	const startMillis = performance.now();
	run();
	return round(performance.now() - startMillis, 1);
}
