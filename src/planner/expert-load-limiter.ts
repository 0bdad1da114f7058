import type {Clock} from '../core/clock.js';

/** Keeps the loads of one group under its share of the weight store's rate. */
export type ExpertLoadLimiter = {
	/** Loads that may be started now. */
	readonly availableLoads: () => number;
	/**
	 * Takes `loads` off; what goes beyond the available ones delays later loads. Returns the time until the weight store
	 * has served all loads spent so far, in milliseconds.
	 */
	readonly consume: (loads: number) => number;
};

/** Creates a pacer of `loadsPerSecond`; unused loads add up to at most `burst`. */
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
