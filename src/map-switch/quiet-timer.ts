/**
 * Measures for how long none of several expected answers has arrived. Time in which this process had no chance to see an answer does not count: its
 * processor may be busy, or its instance suspended, while the answers wait to be read.
 */
import type {Clock} from '../core/clock.js';
import {QUIET_TICK_MILLIS} from './map-switch-constants.js';

/** Measures the time without an answer. Times in milliseconds. */
export type QuietTimer = Readonly<{
	/** Begins anew, as an answer has arrived. */
	restart: () => void;
	/** Time without an answer so far. */
	readMillis: () => number;
	/** Calls `onTick` with the time without an answer at short intervals, until the signal aborts. Resolves then. */
	register: (signal: AbortSignal, onTick: (quietMillis: number) => void) => Promise<void>;
	/** By how much a tick was late at most: the processor was busy. */
	readLongestDelayMillis: () => number;
}>;

/** Creates a timer that has not measured any time. */
export function createQuietTimer(clock: Clock): QuietTimer {
	let quietMillis = 0;
	let longestDelayMillis = 0;

	return {
		restart() {
			quietMillis = 0;
		},
		readMillis: () => quietMillis,
		async register(signal, onTick) {
			/* eslint-disable no-await-in-loop -- Ticks are sequential. */
			while (!signal.aborted) {
				const dueMillis = clock.monotonicMillis() + QUIET_TICK_MILLIS;
				await clock.sleep(QUIET_TICK_MILLIS, signal);
				longestDelayMillis = Math.max(longestDelayMillis, clock.monotonicMillis() - dueMillis);
				if (!signal.aborted) {
					quietMillis += QUIET_TICK_MILLIS;
					onTick(quietMillis);
				}
			}
			/* eslint-enable no-await-in-loop */
		},
		readLongestDelayMillis: () => longestDelayMillis,
	};
}
