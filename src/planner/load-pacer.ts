import type {Clock} from '../core/clock.js';

/** Keeps the loads of one group under its share of the weight store's rate. */
export type LoadPacer = {
	/** Loads that may be started now. */
	readonly available: () => number;
	/** Takes `loads` off; what goes beyond the available ones delays later loads. */
	readonly spend: (loads: number) => void;
	/** Time until the weight store has served all loads spent so far, in milliseconds. */
	readonly busyMillis: () => number;
};

/** Creates a pacer of `loadsPerSecond`; unused loads add up to at most `burst`. */
export function createLoadPacer(clock: Clock, loadsPerSecond: number, burst: number): LoadPacer {
	let tokens = burst;
	let updatedMillis = clock.monotonicMillis();

	function refill(): number {
		const nowMillis = clock.monotonicMillis();
		tokens = Math.min(burst, tokens + ((nowMillis - updatedMillis) * loadsPerSecond / 1000));
		updatedMillis = nowMillis;
		return tokens;
	}

	return {
		available: () => Math.max(0, Math.floor(refill())),
		spend(loads) {
			tokens = refill() - loads;
		},
		busyMillis: () => Math.max(0, (burst - refill()) * 1000 / loadsPerSecond),
	};
}
