import type {Clock} from '../core/clock.js';

/** Limits the expert loads of one group to its share of the weight store's rate: a token bucket that may go into debt. */
export type ExpertLoadLimiter = {
	/** Number of loads that may be started now. */
	readonly availableLoads: () => number;
	/**
	 * Takes `loads` from the budget; loads beyond the available ones delay later loads. Returns the time until the weight
	 * store has served all loads taken so far, in milliseconds.
	 */
	readonly consume: (loads: number) => number;
};

/** Creates a limiter of `loadsPerSecond`; unused loads accumulate up to `burst`. */
export function createExpertLoadLimiter(clock: Clock, loadsPerSecond: number, burst: number): ExpertLoadLimiter {
	let unused = burst;
	let updatedMillis = clock.monotonicMillis();

	function refill(): number {
		const nowMillis = clock.monotonicMillis();
		unused = Math.min(burst, unused + ((nowMillis - updatedMillis) * loadsPerSecond / 1000));
		updatedMillis = nowMillis;
		return unused;
	}

	return {
		availableLoads: () => Math.max(0, Math.floor(refill())),
		consume(loads) {
			unused = refill() - loads;
			return Math.max(loads, burst - unused) * 1000 / loadsPerSecond;
		},
	};
}
