/**
 * Answers retry storms: all processes together may repeat only a share of the requests of a service, so each spends its
 * part of the common budget, which shrinks as processes join.
 */
import type {Clock} from '../../core/clock.js';

/** Part of the common budget that is used, so that views of the membership which differ for a while do not overspend. */
const USED_SHARE = 0.6;

/** Common bound on the repeats of a service over any window of this length. */
export type SharedRetryBudgetOptions = Readonly<{
	/** Repeats allowed for each request. */
	ratio: number;
	/** Repeats allowed besides. */
	extra: number;
	windowMillis: number;
}>;

/** This process's part of the budget of one service. */
export type SharedRetryBudget = Readonly<{
	noteRequest: () => void;
	/** Takes one repeat; false when the budget is used up. */
	tryTake: () => boolean;
}>;

/** Creates a full budget; `countProcesses` is asked at each use. */
export function createSharedRetryBudget(clock: Clock, terms: SharedRetryBudgetOptions, countProcesses: () => number): SharedRetryBudget {
	const {ratio, extra, windowMillis} = terms;
	let saved = Infinity;
	let atMillis = clock.monotonicMillis();

	/** Half of the extra may be spent at once, the other half flows in over a window: no window sees more than the whole. */
	function refill(): void {
		const nowMillis = clock.monotonicMillis();
		const half = extra * USED_SHARE / (2 * Math.max(1, countProcesses()));
		saved = Math.min(half, saved + (half * (nowMillis - atMillis) / windowMillis));
		atMillis = nowMillis;
	}

	return {
		noteRequest() {
			refill();
			saved += ratio * USED_SHARE;
		},
		tryTake() {
			refill();
			if (saved < 1) {
				return false;
			}

			saved--;
			return true;
		},
	};
}
