import type {Clock} from '../src/core/clock.js';
import {createManualClock} from '../src/core/manual-clock.js';

/** Creates a clock whose time does not advance and whose sleeps return immediately. */
export function createHastyClock(): Clock {
	return {
		...createManualClock(),
		async sleep() {
			// Returns immediately.
		},
	};
}
