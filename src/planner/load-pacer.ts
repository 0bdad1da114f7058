import type {Clock} from '../core/clock.js';

/** Limits the expert loads of one group to its share of the weight store's rate: a token bucket that may go into debt. */
export type LoadPacer = {
	/** Number of loads that may be started now. */
	readonly available: () => number;
	/**
	 * Takes `loads` from the budget; loads beyond the available ones delay later loads. Returns the time until the weight
	 * store has served all loads taken so far, in milliseconds.
	 */
	readonly spend: (loads: number) => number;
};

/** Creates a limiter of `loadsPerSecond`; unused loads accumulate up to `burst`. */
export function createLoadPacer(clock: Clock, loadsPerSecond: number, burst: number): LoadPacer {
	let unused = burst;
	let updatedMillis = clock.monotonicMillis();

	function refill(): number {
		const nowMillis = clock.monotonicMillis();
		unused = Math.min(burst, unused + ((nowMillis - updatedMillis) * loadsPerSecond / 1000));
		updatedMillis = nowMillis;
		return unused;
	}

	return {
		available: () => Math.max(0, Math.floor(refill())),
		spend(loads) {
			unused = refill() - loads;
			return Math.max(loads, burst - unused) * 1000 / loadsPerSecond;
		},
	};
}
