import type {Clock} from '../../core/clock.js';
import type {Teardown} from '../../core/teardown.js';
import type {WorkClass} from '../../targets/targets.js';
import type {RandomSource} from '../random.js';
import type {
	AdmissionDecision, AdmissionRequest, Admitted, RefusalReason, ServiceLoad,
} from './admission-request.js';
import {createConcurrencyLimit} from './concurrency-limit.js';
import {createFairShares} from './fair-shares.js';
import {createFirstByteEstimate, type FirstByteEstimate} from './first-byte-estimate.js';
import {compareDispatchKeys, createArrivalRates, type DispatchKey} from './arrival-rates.js';
import {createRetryScheduler} from './retry-scheduler.js';

/** Largest number of waiting requests of one service. */
const MAX_QUEUED_REQUESTS = 512;

/** Admission control of one service. */
export type ServiceAdmission = Readonly<{
	enqueue: (req: AdmissionRequest, decide: (decision: AdmissionDecision) => void) => Teardown;
	noteLoad: (load: ServiceLoad) => void;
	/** Refuses the waiting requests that are expected to be late. */
	refuseExpectedLate: () => void;
	countWaiting: () => number;
}>;

type Waiter = Readonly<{
	req: AdmissionRequest;
	arrivedAtMillis: number;
	/** Monotonic time by which the first byte must arrive. */
	dueMillis: number;
	decide: (decision: AdmissionDecision) => void;
}>;

type KeyedWaiter = Readonly<{waiter: Waiter; key: DispatchKey; admittedRate: number}>;

/** Order of dispatch: by key; above the share, the account with the lowest admitted rate; then the earliest due time. */
function compareKeyedWaiters(left: KeyedWaiter, right: KeyedWaiter): number {
	return compareDispatchKeys(left.key, right.key)
		|| (left.key.tier === 2 ? left.admittedRate - right.admittedRate : 0)
		|| left.waiter.dueMillis - right.waiter.dueMillis;
}

export function createServiceAdmission({clock, random}: Readonly<{clock: Clock; random: RandomSource}>): ServiceAdmission {
	const limit = createConcurrencyLimit();
	const shares = createFairShares();
	const firstByteEstimates = new Map<string, FirstByteEstimate>();
	const arrivalRates = createArrivalRates();
	const retryScheduler = createRetryScheduler(random);
	let waiting: readonly Waiter[] = [];

	/** Backend servers honour priorities, so each class has its own estimate. */
	function getFirstByteEstimate(workClass: WorkClass): FirstByteEstimate {
		const known = firstByteEstimates.get(workClass.name);
		if (known) {
			return known;
		}

		const estimate = createFirstByteEstimate(workClass.lateShare);
		firstByteEstimates.set(workClass.name, estimate);
		return estimate;
	}

	function readDispatchKey(req: AdmissionRequest, nowMillis: number): DispatchKey {
		return {tier: shares.readTier(req.account, req.workClass.priority, nowMillis), priority: req.workClass.priority};
	}

	function sortWaiting(nowMillis: number): readonly KeyedWaiter[] {
		return waiting
			.map(waiter => ({
				waiter,
				key: readDispatchKey(waiter.req, nowMillis),
				admittedRate: shares.readAdmittedRate(waiter.req.account, nowMillis),
			}))
			.toSorted(compareKeyedWaiters);
	}

	/** Expected time until a waiting request is dispatched, given the requests ahead of it now and those arriving ahead of it. */
	function estimateWaitMillis(key: DispatchKey, ahead: number, nowMillis: number): number {
		const rate = limit.readCompletionRate() - arrivalRates.readRateAhead(key, nowMillis);
		return rate > 0 ? (ahead + 1) / rate : Infinity;
	}

	function createAdmitted({req, dueMillis}: Waiter, dispatchedAtMillis: number): Admitted {
		let hasFirstByte = false;
		let isReleased = false;
		return {
			tag: 'admitted',
			noteFirstByte() {
				if (!hasFirstByte) {
					hasFirstByte = true;
					const nowMillis = clock.monotonicMillis();
					getFirstByteEstimate(req.workClass).note(nowMillis - dispatchedAtMillis, nowMillis > dueMillis, nowMillis);
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
		waiter.decide(createAdmitted(waiter, nowMillis));
	}

	function dispatchNext(): void {
		const nowMillis = clock.monotonicMillis();
		while (waiting.length > 0 && limit.hasFreePermit()) {
			const first = sortWaiting(nowMillis)[0]?.waiter;
			waiting = waiting.filter(waiter => waiter !== first);
			if (first) {
				dispatch(first, nowMillis);
			}
		}
	}

	function chooseRefusalReason(waiter: Waiter, nowMillis: number): RefusalReason {
		if (waiter.req.remainingMillis < getFirstByteEstimate(waiter.req.workClass).read(nowMillis)) {
			return 'deadline';
		}

		const isAboveShare = readDispatchKey(waiter.req, nowMillis).tier > 0;
		return isAboveShare && shares.hasOtherAccounts(waiter.req.account) ? 'fair_share' : 'overload';
	}

	function refuse(waiter: Waiter, nowMillis: number): void {
		const retryAfterMillis = retryScheduler.scheduleRetry(nowMillis, limit.readCompletionRate());
		waiter.decide({tag: 'refused', reason: chooseRefusalReason(waiter, nowMillis), retryAfterMillis});
	}

	function refuseExpectedLate(): void {
		const nowMillis = clock.monotonicMillis();
		const kept: Waiter[] = [];
		const refused: Waiter[] = [];
		for (const {waiter, key} of sortWaiting(nowMillis)) {
			const waitMillis = estimateWaitMillis(key, kept.length, nowMillis);
			const isLate = nowMillis + waitMillis + getFirstByteEstimate(waiter.req.workClass).read(nowMillis) > waiter.dueMillis;
			(isLate || kept.length >= MAX_QUEUED_REQUESTS ? refused : kept).push(waiter);
		}

		waiting = kept;
		for (const waiter of refused) {
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
			retryScheduler.noteArrival(nowMillis);
			shares.noteDemand(req.account, req.workClass.priority, nowMillis);
			arrivalRates.note(readDispatchKey(req, nowMillis), nowMillis);
			waiting = [...waiting, waiter];
			dispatchNext();
			refuseExpectedLate();
			return () => {
				waiting = waiting.filter(other => other !== waiter);
			};
		},
		noteLoad(load) {
			limit.noteLoad(load, clock.monotonicMillis());
			dispatchNext();
		},
		refuseExpectedLate,
		countWaiting: () => waiting.length,
	};
}
