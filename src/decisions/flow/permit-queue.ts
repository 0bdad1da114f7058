/**
 * Queues requests during bursts and sustained overload of one service. The order is by priority; within a priority, requests
 * that can still be on time are ahead of late ones, and accounts with fewer requests in flight go first. A request that would
 * wait too long is refused at once with a retry delay.
 *
 * Where requests of more than one priority compete, permits are also reserved for the more urgent ones, and a priority that has
 * got none for the starvation bound goes ahead of the others once.
 */
import type {Clock} from '../../core/clock.js';
import type {Teardown} from '../../core/teardown.js';
import type {RandomSource} from '../random.js';
import {
	HOLD_TIME_WEIGHT, LATE_RESERVED_SHARE, MAX_LENT_SHARE, MAX_RETRY_AFTER_MILLIS, MAX_QUEUED_REQUESTS, MIN_KEPT_PERMITS, MIN_RETRY_AFTER_MILLIS, RESERVE_CHECK_INTERVAL_MILLIS,
} from './flow-constants.js';
import {LOAN_TTL_MILLIS} from './permit-loans.js';
import {createPriorityReserve} from './priority-reserve.js';

/** A request for a permit. */
export type PermitRequest = Readonly<{
	account: string;
	/** 0 is the most urgent. */
	priority: number;
	/** Longest wait after which its response can still be on time, in milliseconds. */
	onTimeWaitMillis: number;
	/** Longest time that it may wait for a permit, in milliseconds. */
	maxWaitMillis: number;
	/** Longest time until it will have ended, in milliseconds; undefined if that is not known, so that it can't use a borrowed permit. */
	maxHoldMillis?: number;
}>;

/** Outcome of a request for a permit. */
export type PermitDecision
	/** `release` returns the permit; further calls have no effect. */
	= | Readonly<{tag: 'admitted'; release: () => void}>
	/** Nothing was sent; the caller may retry after `retryAfterMillis`. */
		| Readonly<{tag: 'refused'; reason: 'overload' | 'withdrawn'; retryAfterMillis: number}>;

/** Queue of requests for permits to the backend servers of one service. */
export type PermitQueue = Readonly<{
	admit: (req: PermitRequest, signal: AbortSignal) => Promise<PermitDecision>;
	countInFlight: () => number;
	countWaiting: () => number;
	/** Current limit on requests in flight. */
	readLimit: () => number;
	/** Permits that a request of this priority must leave to more urgent ones; 0 where requests of only one priority are sent. */
	readReserve: (priority: number) => number;
	/** Grants free permits; called after the limit has changed. */
	dispatch: () => void;
	/** Decides again on the waiting requests, after a permit has come back or a loan has been denied. */
	reexamine: () => void;
	/** Permits that can be lent to another entry now. */
	countSpare: () => number;
	/** Uses a borrowed permit for the first waiting request that will have ended before `expiresAtMillis`; false if there is none. */
	useLoan: (expiresAtMillis: number, giveBack: Teardown) => boolean;
}>;

/** Loans of permits between entries. */
export type QueueLoans = Readonly<{
	/** Asks other entries for loans, so that `wanted` are awaited; returns how many are. */
	borrow: (wanted: number) => number;
	/** Permits lent to other entries. */
	countLent: () => number;
}>;

/** `readLimit` is called before each decision. */
export type PermitQueueDeps = Readonly<{
	clock: Clock;
	random: RandomSource;
	readLimit: () => number;
	/** Whether requests of more than one priority compete for the permits; by default they do not. */
	hasPriorities?: () => boolean;
	/** Used where requests of more than one priority compete; by default nothing is lent or borrowed. */
	loans?: QueueLoans;
}>;

const noLoans: QueueLoans = {borrow: () => 0, countLent: () => 0};

type Waiter = Readonly<{
	req: PermitRequest;
	arrivedAtMillis: number;
	decide: (decision: PermitDecision) => void;
}>;

export function createPermitQueue({clock, random, readLimit, hasPriorities = () => false, loans = noLoans}: PermitQueueDeps): PermitQueue {
	const priorityReserve = createPriorityReserve();
	const inFlightByAccount = new Map<string, number>();
	let inFlight = 0;
	/** Requests in flight on borrowed permits. */
	let onLoan = 0;
	let meanHoldMillis = 0;
	let waiting: readonly Waiter[] = [];
	let isChecking = false;

	function countInFlightOf(account: string): number {
		return inFlightByAccount.get(account) ?? 0;
	}

	/** Whether the response to a waiting request can no longer be on time. */
	function isLate({req, arrivedAtMillis}: Waiter, nowMillis = clock.monotonicMillis()): boolean {
		return nowMillis - arrivedAtMillis > req.onTimeWaitMillis;
	}

	function sortWaiting(): readonly Waiter[] {
		const nowMillis = clock.monotonicMillis();
		const overdue = listOverduePriorities(nowMillis);
		return waiting.toSorted((left, right) =>
			Number(overdue.has(right.req.priority)) - Number(overdue.has(left.req.priority))
			|| left.req.priority - right.req.priority
			|| Number(isLate(left, nowMillis)) - Number(isLate(right, nowMillis))
			|| countInFlightOf(left.req.account) - countInFlightOf(right.req.account)
			|| left.arrivedAtMillis - right.arrivedAtMillis);
	}

	function listOverduePriorities(nowMillis: number): ReadonlySet<number> {
		const priorities = hasPriorities() ? new Set(waiting.map(({req}) => req.priority)) : new Set<number>();
		return new Set([...priorities].filter(priority => priorityReserve.isOverdue(priority, nowMillis)));
	}

	function readReserve(priority: number): number {
		const nowMillis = clock.monotonicMillis();
		return !hasPriorities() || priorityReserve.isOverdue(priority, nowMillis) ? 0 : priorityReserve.read(priority, readLimit(), nowMillis);
	}

	/** Permits that a waiting request must leave to those which can still be on time. */
	function readLateReserve(waiter: Waiter): number {
		const nowMillis = clock.monotonicMillis();
		return isLate(waiter, nowMillis) && !listOverduePriorities(nowMillis).has(waiter.req.priority) ? Math.max(0, readLimit() - 1) * LATE_RESERVED_SHARE : 0;
	}

	/** Permits of this entry that are neither in use nor lent. */
	const countFree = () => readLimit() - loans.countLent() - (inFlight - onLoan);
	const hasFreePermit = () => countFree() >= 1;

	/** Expected time until the request at this position of the queue gets a permit, in milliseconds. */
	function estimateWaitMillis(position: number): number {
		return ((position + 1) * meanHoldMillis) / Math.max(1, readLimit());
	}

	/** Time after which the requests ahead of a refused one are expected to have been served; what arrives meanwhile at higher priority is included. */
	function chooseRetryAfterPriorities({req}: Waiter): number {
		const ahead = waiting.filter(other => other.req.priority <= req.priority).length + 1;
		const servedMillis = priorityReserve.estimateServedMillis(req.priority, ahead, readLimit(), clock.monotonicMillis());
		const baseMillis = Math.max(MIN_RETRY_AFTER_MILLIS, servedMillis);
		return Math.round(Math.min(MAX_RETRY_AFTER_MILLIS, baseMillis * (1 + random())));
	}

	function chooseRetryAfterMillis(): number {
		const backlogMillis = estimateWaitMillis(waiting.length);
		const baseMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, backlogMillis));
		return Math.round(baseMillis * (1 + random()));
	}

	function acquire(req: PermitRequest, giveBack?: Teardown): PermitDecision {
		const startedAtMillis = clock.monotonicMillis();
		let isReleased = false;
		inFlight++;
		onLoan += giveBack ? 1 : 0;
		priorityReserve.noteGrant(req.priority, startedAtMillis);
		inFlightByAccount.set(req.account, countInFlightOf(req.account) + 1);
		return {
			tag: 'admitted',
			release() {
				if (isReleased) {
					return;
				}

				isReleased = true;
				inFlight--;
				if (giveBack) {
					onLoan--;
					giveBack();
				}

				const count = countInFlightOf(req.account) - 1;
				if (count > 0) {
					inFlightByAccount.set(req.account, count);
				} else {
					inFlightByAccount.delete(req.account);
				}

				const heldMillis = clock.monotonicMillis() - startedAtMillis;
				priorityReserve.noteRelease(req.priority, heldMillis);
				meanHoldMillis = meanHoldMillis === 0 ? heldMillis : meanHoldMillis + ((heldMillis - meanHoldMillis) * HOLD_TIME_WEIGHT);
				dispatch();
			},
		};
	}

	function dispatch(): void {
		while (waiting.length > 0 && hasFreePermit()) {
			const [next] = sortWaiting();
			if (!next || countFree() < 1 + Math.max(readReserve(next.req.priority), readLateReserve(next))) {
				break;
			}

			waiting = waiting.filter(waiter => waiter !== next);
			next.decide(acquire(next.req));
		}
	}

	/** Grants permits to requests that wait behind a reserve, as it shrinks. */
	async function checkReserve(): Promise<void> {
		isChecking = true;
		while (waiting.length > 0) {
			// eslint-disable-next-line no-await-in-loop -- Checks are sequential.
			await clock.sleep(RESERVE_CHECK_INTERVAL_MILLIS);
			dispatch();
		}

		isChecking = false;
	}

	function refuse(waiter: Waiter, reason: 'overload' | 'withdrawn'): void {
		if (waiting.includes(waiter)) {
			waiting = waiting.filter(other => other !== waiter);
			waiter.decide({tag: 'refused', reason, retryAfterMillis: hasPriorities() ? chooseRetryAfterPriorities(waiter) : chooseRetryAfterMillis()});
		}
	}

	/** Asks for a loan for each waiting request that can use one, unless permits are free; returns how many loans are awaited. */
	function borrowForWaiting(): number {
		return !hasPriorities() || hasFreePermit() ? 0 : loans.borrow(waiting.filter(({req}) => (req.maxHoldMillis ?? Infinity) < LOAN_TTL_MILLIS).length);
	}

	/** Refuses the requests whose expected wait exceeds the time they may still wait, and those beyond the maximum queue length. */
	function refuseUnservable(): void {
		const nowMillis = clock.monotonicMillis();
		// Requests that wait behind a reserve are not refused early: its end can't be predicted from the queue.
		const isReserveAhead = hasPriorities() && hasFreePermit();
		const awaitedLoans = borrowForWaiting();
		let position = 0;
		for (const waiter of sortWaiting()) {
			const remainingMillis = waiter.arrivedAtMillis + waiter.req.maxWaitMillis - nowMillis;
			if ((!isReserveAhead && position >= awaitedLoans && estimateWaitMillis(position - awaitedLoans) > remainingMillis) || position >= MAX_QUEUED_REQUESTS) {
				refuse(waiter, 'overload');
			} else {
				position++;
			}
		}
	}

	function enqueue(waiter: Waiter): void {
		waiting = [...waiting, waiter];
		if (hasPriorities()) {
			dispatch();
		}

		refuseUnservable();
		if (hasPriorities() && waiting.length > 0 && !isChecking) {
			void checkReserve();
		}
	}

	async function refuseAfterMaxWait(waiter: Waiter, signal: AbortSignal): Promise<void> {
		await clock.sleep(waiter.req.maxWaitMillis, signal);
		refuse(waiter, 'overload');
	}

	return {
		async admit(req, signal) {
			priorityReserve.noteArrival(req.priority, req.maxWaitMillis, clock.monotonicMillis());
			if (waiting.length === 0 && countFree() >= 1 + readReserve(req.priority)) {
				return acquire(req);
			}

			return new Promise<PermitDecision>(resolve => {
				const decided = new AbortController();
				const waiter: Waiter = {
					req,
					arrivedAtMillis: clock.monotonicMillis(),
					decide(decision) {
						signal.removeEventListener('abort', withdraw);
						decided.abort();
						resolve(decision);
					},
				};
				const withdraw: Teardown = () => {
					refuse(waiter, 'withdrawn');
				};

				signal.addEventListener('abort', withdraw, {once: true});
				enqueue(waiter);
				void refuseAfterMaxWait(waiter, decided.signal);
				dispatch();
			});
		},
		countInFlight: () => inFlight,
		countWaiting: () => waiting.length,
		readLimit,
		readReserve,
		dispatch,
		reexamine() {
			dispatch();
			if (hasPriorities()) {
				refuseUnservable();
			}
		},
		countSpare() {
			const leastUrgentReserve = hasPriorities() ? priorityReserve.read(Infinity, readLimit(), clock.monotonicMillis()) : 0;
			const free = countFree() - leastUrgentReserve - MIN_KEPT_PERMITS;
			const lendable = (readLimit() * MAX_LENT_SHARE) - loans.countLent();
			return !hasPriorities() || waiting.length > 0 ? 0 : Math.max(0, Math.floor(Math.min(free, lendable)));
		},
		useLoan(expiresAtMillis, giveBack) {
			const leftMillis = expiresAtMillis - clock.monotonicMillis();
			const next = sortWaiting().find(({req}) => (req.maxHoldMillis ?? Infinity) <= leftMillis);
			if (next) {
				waiting = waiting.filter(waiter => waiter !== next);
				next.decide(acquire(next.req, giveBack));
			}

			return next !== undefined;
		},
	};
}
