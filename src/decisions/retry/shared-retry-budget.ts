/**
 * Prevents retry storms: all processes together may retry only a share of the requests of a service, so each has its part of
 * the common budget, which shrinks as processes join. Where that part is less than one retry, the processes take turns, so that
 * the budget can be used at any number of them.
 */
import type {Clock} from '../../core/clock.js';
import type {RandomSource} from '../random.js';

/** Share of the extra retries that are available at once after an idle time. */
const BURST_SHARE = 0.3;
/** Share of the extra retries that are added in a window; with the burst, differing views of the membership stay within the bound. */
const REFILL_SHARE = 0.56;
/** Share of the retries allowed for requests that is used. */
const REQUEST_SHARE = 0.65;
/** Time for which a retry that was added for requests can be used, as a share of the window. */
const REQUEST_RETRY_LIFETIME_SHARE = 0.5;

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

type Deps = Readonly<{
	clock: Clock;
	random: RandomSource;
	options: SharedRetryBudgetOptions;
	/** Number of processes that share the budget, infinite while it is not known; called at each use. */
	countProcesses: () => number;
}>;

/** A part of the budget from which single retries are taken. */
type RetrySource = Readonly<{tryTake: (nowMillis: number, processes: number) => boolean}>;

/** Refills continuously, for processes whose part is at least one retry. */
function createBucket({extra, windowMillis}: SharedRetryBudgetOptions, startMillis: number): RetrySource {
	let balance = Infinity;
	let atMillis = startMillis;
	return {
		tryTake(nowMillis, processes) {
			const refilled = (extra * REFILL_SHARE / processes) * (nowMillis - atMillis) / windowMillis;
			balance = Math.min(extra * BURST_SHARE / processes, balance + refilled);
			atMillis = nowMillis;
			if (balance < 1) {
				return false;
			}

			balance--;
			return true;
		},
	};
}

/** Grants one retry in each turn. A turn that is not used in time is lost, so that retries do not add up over all processes. */
function createTurns({extra, windowMillis}: SharedRetryBudgetOptions, random: RandomSource, startMillis: number): RetrySource {
	const phase = random();
	const turnMillis = windowMillis * BURST_SHARE / REFILL_SHARE;
	let turnAtMillis: number | undefined;
	return {
		tryTake(nowMillis, processes) {
			const periodMillis = windowMillis * processes / (extra * REFILL_SHARE);
			turnAtMillis ??= startMillis + (phase * periodMillis);
			if (nowMillis >= turnAtMillis + turnMillis) {
				const missedTurns = Math.ceil((nowMillis - turnAtMillis - turnMillis + 1) / periodMillis);
				turnAtMillis += missedTurns * periodMillis;
			}

			if (nowMillis < turnAtMillis) {
				return false;
			}

			turnAtMillis += periodMillis;
			return true;
		},
	};
}

/** Creates a budget of which this process has an equal part. */
export function createSharedRetryBudget({clock, random, options, countProcesses}: Deps): SharedRetryBudget {
	const {ratio, extra, windowMillis} = options;
	const startMillis = clock.monotonicMillis();
	const bucket = createBucket(options, startMillis);
	const turns = createTurns(options, random, startMillis);
	/** Part of a retry that the requests have earned; the processes begin at different parts, so that their sum is exact. */
	let earned = random();
	/** Times at which the retries earned by requests expire, oldest first. */
	let expiries: readonly number[] = [];

	function tryTakeEarned(nowMillis: number): boolean {
		const usable = expiries.filter(atMillis => atMillis > nowMillis);
		expiries = usable.slice(1);
		return usable.length > 0;
	}

	return {
		noteRequest() {
			earned += ratio * REQUEST_SHARE;
			if (earned >= 1) {
				earned--;
				const nowMillis = clock.monotonicMillis();
				expiries = [...expiries.filter(atMillis => atMillis > nowMillis), nowMillis + (windowMillis * REQUEST_RETRY_LIFETIME_SHARE)];
			}
		},
		tryTake() {
			const nowMillis = clock.monotonicMillis();
			const processes = Math.max(1, countProcesses());
			if (tryTakeEarned(nowMillis)) {
				return true;
			}

			const common = extra * BURST_SHARE >= processes ? bucket : turns;
			return Number.isFinite(processes) && common.tryTake(nowMillis, processes);
		},
	};
}
