/**
 * Prevents retry storms: all processes together may retry only a share of the requests of a service, so each has its part of
 * the common budget, which shrinks as processes join.
 */
import type {Clock} from '../../core/clock.js';

/** Share of the common budget that is used, so that temporarily different views of the membership do not exceed it. */
const USED_SHARE = 0.6;

/** Common bound on the retries of a service over any window of `windowMillis`. */
export type SharedRetryBudgetOptions = Readonly<{
	/** Retries allowed for each request. */
	ratio: number;
	/** Retries allowed in addition, regardless of the number of requests. */
	extra: number;
	windowMillis: number;
}>;

/** This process's part of the budget of one service. */
export type SharedRetryBudget = Readonly<{
	noteRequest: () => void;
	/** Takes one retry from the budget; false when it is exhausted. */
	tryTake: () => boolean;
}>;

/** Creates a full budget; `countProcesses` is called at each use. */
export function createSharedRetryBudget(clock: Clock, options: SharedRetryBudgetOptions, countProcesses: () => number): SharedRetryBudget {
	const {ratio, extra, windowMillis} = options;
	let balance = Infinity;
	let atMillis = clock.monotonicMillis();

	/** Half of the extra is available immediately, the other half is refilled over a window, so that no window exceeds the full extra. */
	function refill(): void {
		const nowMillis = clock.monotonicMillis();
		const halfExtra = extra * USED_SHARE / (2 * Math.max(1, countProcesses()));
		balance = Math.min(halfExtra, balance + (halfExtra * (nowMillis - atMillis) / windowMillis));
		atMillis = nowMillis;
	}

	return {
		noteRequest() {
			refill();
			balance += ratio * USED_SHARE;
		},
		tryTake() {
			refill();
			if (balance < 1) {
				return false;
			}

			balance--;
			return true;
		},
	};
}
