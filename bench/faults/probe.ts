import {systemClock} from '../../src/core/system-clock.js';
import type {LoggedCall} from '../system/call-log.js';
import type {CallWorker} from '../system/call-worker.js';

/** Maximum number of calls of one kind that a probe sends before it stops waiting for an answer. */
const MAX_PROBE_CALLS = 40;
/** Tokens requested by each model call of a probe. */
const PROBE_TOKENS = 3;

/** Measures recovery: sends new calls until they are answered. */
export type Probe = Readonly<{
	/** Resolves to the monotonic time at which a new call of each kind has been answered; undefined if a kind was not answered in time. */
	waitUntilAnswered: () => Promise<number | undefined>;
	calls: () => readonly LoggedCall[];
}>;

function isAnswered(call: LoggedCall): boolean {
	return call.tries.at(-1)?.outcome.tag === 'answered';
}

export function createProbe(worker: CallWorker): Probe {
	const calls: LoggedCall[] = [];

	async function sendUntilAnswered(send: (i: number) => Promise<LoggedCall>): Promise<boolean> {
		for (let i = 0; i < MAX_PROBE_CALLS; i++) {
			// eslint-disable-next-line no-await-in-loop
			const call = await send(calls.length);
			calls.push(call);
			if (isAnswered(call)) {
				return true;
			}
		}

		return false;
	}

	return {
		async waitUntilAnswered() {
			const areAnswered = await Promise.all([
				sendUntilAnswered(async i => worker.callPlainService(`probe-${i}-${systemClock.monotonicMillis()}`, 'probe', false)),
				sendUntilAnswered(async i => worker.askModel(`probe ${i}`, PROBE_TOKENS)),
			]);
			return areAnswered.every(Boolean) ? systemClock.monotonicMillis() : undefined;
		},
		calls: () => calls,
	};
}
