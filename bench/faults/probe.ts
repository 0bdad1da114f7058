import {systemClock} from '../../src/core/system-clock.js';
import type {LoggedCall} from '../system/call-log.js';
import type {CallWorker} from '../system/call-worker.js';

/** Tries of a probe before the run is given up. */
const MAX_PROBES = 40;
/** Tokens that a probe asks for. */
const PROBE_TOKENS = 3;

/** Sends new work until it is answered. */
export type Probe = Readonly<{
	/** Resolves to the monotonic time at which a new call of each kind had been answered. */
	waitUntilAnswered: () => Promise<number>;
	calls: () => readonly LoggedCall[];
}>;

function isAnswered(call: LoggedCall): boolean {
	return call.tries.at(-1)?.outcome.tag === 'answered';
}

/** Creates a probe that calls through `worker`. */
export function createProbe(worker: CallWorker): Probe {
	const calls: LoggedCall[] = [];

	async function probeUntil(send: (i: number) => Promise<LoggedCall>): Promise<void> {
		for (let i = 0; i < MAX_PROBES; i++) {
			// eslint-disable-next-line no-await-in-loop
			const call = await send(calls.length);
			calls.push(call);
			if (isAnswered(call)) {
				return;
			}
		}
	}

	return {
		async waitUntilAnswered() {
			await Promise.all([
				probeUntil(async i => worker.postOnce(`probe-${i}-${systemClock.monotonicMillis()}`, 'probe', false)),
				probeUntil(async i => worker.ask(`probe ${i}`, PROBE_TOKENS)),
			]);
			return systemClock.monotonicMillis();
		},
		calls: () => calls,
	};
}
