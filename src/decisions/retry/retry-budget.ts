import type {Clock} from '../../core/clock.js';
import type {RandomSource} from '../random.js';
import {chooseBackoffMillis} from './backoff.js';

/** Delay before the first retry, before jitter. */
const INITIAL_DELAY_MILLIS = 25;
/** Largest delay before a retry, before jitter. */
const MAX_DELAY_MILLIS = 1000;
/** Largest number of retries of one request. */
const MAX_RETRIES = 4;
/** Retries added to the budget for each request of the class. */
const RETRIES_PER_REQUEST = 0.1;
/** Retries that a budget always refills to, so that requests of rarely used classes can be retried too. */
const RESERVE_RETRIES = 3;
/** Time in which an empty reserve refills without requests. */
const RESERVE_REFILL_MILLIS = 10_000;
/** Upper bound of the balance of a budget. */
const MAX_BALANCE_RETRIES = 50;

/** A request that could be retried. */
export type RetryRequest = Readonly<{
	workClass: string;
	/** Retries of this request so far. */
	retries: number;
	/** Time left until its deadline. */
	remainingMillis: number;
}>;

/** Whether to retry a request. */
export type RetryDecision
	= | Readonly<{tag: 'retry'; delayMillis: number}>
	/** `budget`: the budget of the class is exhausted; `deadline`: no time is left; `attempts`: the retry limit is reached. */
		| Readonly<{tag: 'give_up'; reason: 'budget' | 'deadline' | 'attempts'}>;

/** Retry budget for each class of work: a share of its recent requests. */
export type RetryBudget = Readonly<{
	/** Counts a new request of a class; retries are not counted. */
	noteRequest: (workClass: string) => void;
	/** Decides on one retry and deducts it from the budget if it is granted. */
	decide: (req: RetryRequest) => RetryDecision;
}>;

export type RetryBudgetDeps = Readonly<{clock: Clock; random: RandomSource}>;

type BudgetState = Readonly<{balance: number; atMillis: number}>;

function refillReserve(budget: BudgetState, nowMillis: number): BudgetState {
	const refilled = ((nowMillis - budget.atMillis) / RESERVE_REFILL_MILLIS) * RESERVE_RETRIES;
	const balance = budget.balance >= RESERVE_RETRIES ? budget.balance : Math.min(RESERVE_RETRIES, budget.balance + refilled);
	return {balance, atMillis: nowMillis};
}

/** Creates a budget in which each class starts with its reserve. */
export function createRetryBudget({clock, random}: RetryBudgetDeps): RetryBudget {
	const budgets = new Map<string, BudgetState>();

	function readBudget(workClass: string): BudgetState {
		const nowMillis = clock.monotonicMillis();
		return refillReserve(budgets.get(workClass) ?? {balance: RESERVE_RETRIES, atMillis: nowMillis}, nowMillis);
	}

	return {
		noteRequest(workClass) {
			const budget = readBudget(workClass);
			budgets.set(workClass, {...budget, balance: Math.min(MAX_BALANCE_RETRIES, budget.balance + RETRIES_PER_REQUEST)});
		},
		decide({workClass, retries, remainingMillis}) {
			if (retries >= MAX_RETRIES) {
				return {tag: 'give_up', reason: 'attempts'};
			}

			const delayMillis = Math.round(chooseBackoffMillis({initialMillis: INITIAL_DELAY_MILLIS, maxMillis: MAX_DELAY_MILLIS}, retries, random));
			if (delayMillis >= remainingMillis) {
				return {tag: 'give_up', reason: 'deadline'};
			}

			const budget = readBudget(workClass);
			if (budget.balance < 1) {
				return {tag: 'give_up', reason: 'budget'};
			}

			budgets.set(workClass, {...budget, balance: budget.balance - 1});
			return {tag: 'retry', delayMillis};
		},
	};
}
