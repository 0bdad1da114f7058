import type {Clock} from '../../core/clock.js';
import type {RandomSource} from '../random.js';
import {chooseBackoffMillis} from './backoff.js';

/** Delay before the first retry, before jitter. */
const FIRST_DELAY_MILLIS = 25;
/** Largest delay before a retry, before jitter. */
const MAX_DELAY_MILLIS = 1000;
/** Largest number of retries of one request. */
const MAX_RETRIES = 4;
/** Retries allowed for each request of the class. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries a class may always save up, so that rare requests can be repeated too. */
const RESERVE_RETRIES = 3;
/** Time in which the reserve fills up without requests. */
const RESERVE_FILL_MILLIS = 10_000;
/** Most retries a class can save up. */
const MAX_SAVED_RETRIES = 50;

/** A request that could be sent again. */
export type RetryRequest = Readonly<{
	workClass: string;
	/** Retries of this request so far. */
	retries: number;
	/** Time left to its deadline. */
	remainingMillis: number;
}>;

/** Whether to send a request again. */
export type RetryDecision
	= | Readonly<{tag: 'retry'; delayMillis: number}>
	/** `budget`: the class has used up its share; `deadline`: no time is left; `attempts`: repeated often enough. */
		| Readonly<{tag: 'give_up'; reason: 'budget' | 'deadline' | 'attempts'}>;

/** Budget of retries for each class of work: a share of its recent requests. */
export type RetryBudget = Readonly<{
	/** Counts a new request of a class; retries are not counted. */
	noteRequest: (workClass: string) => void;
	/** Decides on one retry and, if it is granted, takes it from the budget. */
	decide: (req: RetryRequest) => RetryDecision;
}>;

/** What a retry budget needs. */
export type RetryBudgetDeps = Readonly<{clock: Clock; random: RandomSource}>;

type Account = Readonly<{saved: number; atMillis: number}>;

function fillReserve(account: Account, nowMillis: number): Account {
	const filled = ((nowMillis - account.atMillis) / RESERVE_FILL_MILLIS) * RESERVE_RETRIES;
	const saved = account.saved >= RESERVE_RETRIES ? account.saved : Math.min(RESERVE_RETRIES, account.saved + filled);
	return {saved, atMillis: nowMillis};
}

/** Creates a budget in which each class starts with its reserve. */
export function createRetryBudget({clock, random}: RetryBudgetDeps): RetryBudget {
	const accounts = new Map<string, Account>();

	function read(workClass: string): Account {
		const nowMillis = clock.monotonicMillis();
		return fillReserve(accounts.get(workClass) ?? {saved: RESERVE_RETRIES, atMillis: nowMillis}, nowMillis);
	}

	return {
		noteRequest(workClass) {
			const account = read(workClass);
			accounts.set(workClass, {...account, saved: Math.min(MAX_SAVED_RETRIES, account.saved + RETRIES_PER_REQUEST)});
		},
		decide({workClass, retries, remainingMillis}) {
			if (retries >= MAX_RETRIES) {
				return {tag: 'give_up', reason: 'attempts'};
			}

			const delayMillis = Math.round(chooseBackoffMillis({initialMillis: FIRST_DELAY_MILLIS, maxMillis: MAX_DELAY_MILLIS}, retries, random));
			if (delayMillis >= remainingMillis) {
				return {tag: 'give_up', reason: 'deadline'};
			}

			const account = read(workClass);
			if (account.saved < 1) {
				return {tag: 'give_up', reason: 'budget'};
			}

			accounts.set(workClass, {...account, saved: account.saved - 1});
			return {tag: 'retry', delayMillis};
		},
	};
}
