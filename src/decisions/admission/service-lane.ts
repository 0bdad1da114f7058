import type {Clock} from '../../core/clock.js';
import type {Teardown} from '../../core/teardown.js';
import type {RandomSource} from '../random.js';
import type {
	AdmissionDecision, AdmissionRequest, Admitted, RefusalReason, ServiceLoad,
} from './admission-request.js';
import {createConcurrencyLimit} from './concurrency-limit.js';
import {createFairShares} from './fair-shares.js';
import {createFirstByteEstimate} from './first-byte-estimate.js';
import {createReturnCalendar} from './return-calendar.js';

/** Largest number of requests of one service that wait. */
const MAX_WAITING = 512;

/** Admission to one service. */
export type ServiceLane = Readonly<{
	enqueue: (req: AdmissionRequest, decide: (decision: AdmissionDecision) => void) => Teardown;
	noteLoad: (load: ServiceLoad) => void;
	/** Refuses the waiting requests that would be late. */
	refuseHopeless: () => void;
	countWaiting: () => number;
}>;

type Waiter = Readonly<{
	req: AdmissionRequest;
	arrivedAtMillis: number;
	/** Monotonic time by which the first byte must be there. */
	dueMillis: number;
	decide: (decision: AdmissionDecision) => void;
}>;

type RankedWaiter = Readonly<{waiter: Waiter; over: boolean; admittedRate: number}>;

/** Order of service: accounts within their share first, then by priority; above the share, whoever had least. */
function compareRanked(left: RankedWaiter, right: RankedWaiter): number {
	return Number(left.over) - Number(right.over)
		|| right.waiter.req.workClass.priority - left.waiter.req.workClass.priority
		|| (left.over ? left.admittedRate - right.admittedRate : 0)
		|| left.waiter.arrivedAtMillis - right.waiter.arrivedAtMillis;
}

/** Creates the lane of one service. */
export function createServiceLane({clock, random}: Readonly<{clock: Clock; random: RandomSource}>): ServiceLane {
	const limit = createConcurrencyLimit();
	const shares = createFairShares(limit.readDrainRate);
	const firstByte = createFirstByteEstimate();
	const calendar = createReturnCalendar(random);
	let waiting: readonly Waiter[] = [];

	function sortWaiting(nowMillis: number): void {
		waiting = waiting
			.map(waiter => ({
				waiter,
				over: shares.isOver(waiter.req.account, nowMillis),
				admittedRate: shares.readAdmittedRate(waiter.req.account, nowMillis),
			}))
			.toSorted(compareRanked)
			.map(ranked => ranked.waiter);
	}

	function createAdmitted(dispatchedAtMillis: number): Admitted {
		let hasFirstByte = false;
		let isReleased = false;
		return {
			tag: 'admitted',
			noteFirstByte() {
				if (!hasFirstByte) {
					hasFirstByte = true;
					firstByte.note(clock.monotonicMillis() - dispatchedAtMillis);
				}
			},
			release() {
				if (!isReleased) {
					isReleased = true;
					limit.noteReleased(clock.monotonicMillis() - dispatchedAtMillis);
					dispatchNext();
				}
			},
		};
	}

	function dispatch(waiter: Waiter, nowMillis: number): void {
		limit.noteDispatched();
		shares.noteAdmitted(waiter.req.account, nowMillis);
		waiter.decide(createAdmitted(nowMillis));
	}

	function dispatchNext(): void {
		const nowMillis = clock.monotonicMillis();
		while (waiting.length > 0 && limit.hasRoom()) {
			sortWaiting(nowMillis);
			const [first, ...rest] = waiting;
			waiting = rest;
			if (first) {
				dispatch(first, nowMillis);
			}
		}
	}

	function chooseReason(waiter: Waiter, nowMillis: number): RefusalReason {
		if (waiter.req.remainingMillis < firstByte.read()) {
			return 'deadline';
		}

		return shares.isOver(waiter.req.account, nowMillis) ? 'fair_share' : 'overload';
	}

	function refuse(waiter: Waiter, nowMillis: number): void {
		const retryAfterMillis = calendar.book(nowMillis, limit.readDrainRate());
		waiter.decide({tag: 'refused', reason: chooseReason(waiter, nowMillis), retryAfterMillis});
	}

	function refuseHopeless(): void {
		const nowMillis = clock.monotonicMillis();
		sortWaiting(nowMillis);
		const drainRate = limit.readDrainRate();
		const kept: Waiter[] = [];
		const hopeless: Waiter[] = [];
		for (const waiter of waiting) {
			const waitMillis = (kept.length + 1) / drainRate;
			const isLate = nowMillis + waitMillis + firstByte.read() > waiter.dueMillis;
			(isLate || kept.length >= MAX_WAITING ? hopeless : kept).push(waiter);
		}

		waiting = kept;
		for (const waiter of hopeless) {
			refuse(waiter, nowMillis);
		}
	}

	return {
		enqueue(req, decide) {
			const nowMillis = clock.monotonicMillis();
			const dueMillis = nowMillis + Math.min(req.workClass.lateAfterMillis, req.remainingMillis);
			const waiter = {
				req, arrivedAtMillis: nowMillis, dueMillis, decide,
			};
			calendar.noteArrival(nowMillis);
			shares.noteDemand(req.account, nowMillis);
			waiting = [...waiting, waiter];
			dispatchNext();
			refuseHopeless();
			return () => {
				waiting = waiting.filter(other => other !== waiter);
			};
		},
		noteLoad(load) {
			limit.noteLoad(load, clock.monotonicMillis());
			dispatchNext();
		},
		refuseHopeless,
		countWaiting: () => waiting.length,
	};
}
