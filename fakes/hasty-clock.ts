import type {Clock} from '../src/core/clock.js';
import {createManualClock} from '../src/core/manual-clock.js';

/** A clock that stands still and whose sleeps end at once. */
export function createHastyClock(): Clock {
	return {
		...createManualClock(),
		async sleep() {
			// It ends at once.
		},
	};
}
