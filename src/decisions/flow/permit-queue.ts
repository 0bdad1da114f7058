/**
 * Answers bursts and lasting overload of one service: requests that can still be on time go first, in order of priority and of
 * what their account has in flight; those that are late already take the room that is left. Whoever would wait too long is
 * refused at once and told when to come back.
 */
import type {Clock} from '../../core/clock.js';
import type {Teardown} from '../../core/teardown.js';
import type {RandomSource} from '../random.js';
import {
	HOLD_TIME_WEIGHT, MAX_RETRY_AFTER_MILLIS, MAX_QUEUED_REQUESTS, MIN_RETRY_AFTER_MILLIS,
} from './flow-constants.js';

/** A request that asks for a place. */
export type PermitRequest = Readonly<{
	account: string;
	/** 0 is served first. */
	priority: number;
	/** Longest wait with which its answer is still on time, in milliseconds. */
	onTimeWaitMillis: number;
	/** Longest time that it may wait for a place, in milliseconds. */
	maxWaitMillis: number;
}>;

/** Whether a request gets a place. */
export type PermitDecision
	/** `release` gives the place back; further calls have no effect. */
	= | Readonly<{tag: 'admitted'; release: () => void}>
	/** Nothing was sent; the caller may come back after `retryAfterMillis`. */
		| Readonly<{tag: 'refused'; reason: 'overload' | 'withdrawn'; retryAfterMillis: number}>;

/** Queue before the backend servers of one service. */
export type PermitQueue = Readonly<{
	admit: (req: PermitRequest, signal: AbortSignal) => Promise<PermitDecision>;
	countInFlight: () => number;
	countWaiting: () => number;
	/** Requests that may be in flight now. */
	readLimit: () => number;
	/** Looks again for room, after the limit has changed. */
	dispatch: () => void;
}>;

/** What a lane needs; `readLimit` is asked before each decision. */
export type PermitQueueDeps = Readonly<{
	clock: Clock;
	random: RandomSource;
	readLimit: () => number;
}>;

type Waiter = Readonly<{
	req: PermitRequest;
	arrivedAtMillis: number;
	decide: (decision: PermitDecision) => void;
}>;

/** Creates the lane of one service. */
export function createPermitQueue({clock, random, readLimit}: PermitQueueDeps): PermitQueue {
	const inFlightByAccount = new Map<string, number>();
	let inFlight = 0;
	let meanHoldMillis = 0;
	let waiting: readonly Waiter[] = [];

	function countOf(account: string): number {
		return inFlightByAccount.get(account) ?? 0;
	}

	function listInOrder(): readonly Waiter[] {
		const nowMillis = clock.monotonicMillis();
		const isLate = ({req, arrivedAtMillis}: Waiter) => nowMillis - arrivedAtMillis > req.onTimeWaitMillis;
		return waiting.toSorted((left, right) =>
			left.req.priority - right.req.priority
			|| Number(isLate(left)) - Number(isLate(right))
			|| countOf(left.req.account) - countOf(right.req.account)
			|| left.arrivedAtMillis - right.arrivedAtMillis);
	}

	/** Time until the request at this place of the queue gets its turn, in milliseconds. */
	function estimateWaitMillis(place: number): number {
		return ((place + 1) * meanHoldMillis) / Math.max(1, readLimit());
	}

	function chooseRetryAfterMillis(): number {
		const backlogMillis = estimateWaitMillis(waiting.length);
		const baseMillis = Math.min(MAX_RETRY_AFTER_MILLIS, Math.max(MIN_RETRY_AFTER_MILLIS, backlogMillis));
		return Math.round(baseMillis * (1 + random()));
	}

	function take(req: PermitRequest): PermitDecision {
		const startedAtMillis = clock.monotonicMillis();
		let isReleased = false;
		inFlight++;
		inFlightByAccount.set(req.account, countOf(req.account) + 1);
		return {
			tag: 'admitted',
			release() {
				if (isReleased) {
					return;
				}

				isReleased = true;
				inFlight--;
				const count = countOf(req.account) - 1;
				if (count > 0) {
					inFlightByAccount.set(req.account, count);
				} else {
					inFlightByAccount.delete(req.account);
				}

				const heldMillis = clock.monotonicMillis() - startedAtMillis;
				meanHoldMillis = meanHoldMillis === 0 ? heldMillis : meanHoldMillis + ((heldMillis - meanHoldMillis) * HOLD_TIME_WEIGHT);
				dispatch();
			},
		};
	}

	function dispatch(): void {
		while (waiting.length > 0 && inFlight + 1 <= readLimit()) {
			const [next] = listInOrder();
			waiting = waiting.filter(waiter => waiter !== next);
			if (next) {
				next.decide(take(next.req));
			}
		}
	}

	function refuse(waiter: Waiter, reason: 'overload' | 'withdrawn'): void {
		if (waiting.includes(waiter)) {
			waiting = waiting.filter(other => other !== waiter);
			waiter.decide({tag: 'refused', reason, retryAfterMillis: chooseRetryAfterMillis()});
		}
	}

	/** Refuses whoever would wait longest beyond its time. */
	function refuseHopeless(): void {
		const nowMillis = clock.monotonicMillis();
		let place = 0;
		for (const waiter of listInOrder()) {
			const leftMillis = waiter.arrivedAtMillis + waiter.req.maxWaitMillis - nowMillis;
			if (estimateWaitMillis(place) > leftMillis || place >= MAX_QUEUED_REQUESTS) {
				refuse(waiter, 'overload');
			} else {
				place++;
			}
		}
	}

	function enqueue(waiter: Waiter): void {
		waiting = [...waiting, waiter];
		refuseHopeless();
	}

	async function refuseInTime(waiter: Waiter, signal: AbortSignal): Promise<void> {
		await clock.sleep(waiter.req.maxWaitMillis, signal);
		refuse(waiter, 'overload');
	}

	return {
		async admit(req, signal) {
			if (inFlight + 1 <= readLimit() && waiting.length === 0) {
				return take(req);
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
				void refuseInTime(waiter, decided.signal);
				dispatch();
			});
		},
		countInFlight: () => inFlight,
		countWaiting: () => waiting.length,
		readLimit,
		dispatch,
	};
}
