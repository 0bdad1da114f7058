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

/** Largest number of requests of one service that wait. */
const MAX_WAITING = 512;

/** Admission to one service. */
export type ServiceAdmission = Readonly<{
	enqueue: (req: AdmissionRequest, decide: (decision: AdmissionDecision) => void) => Teardown;
	noteLoad: (load: ServiceLoad) => void;
	/** Refuses the waiting requests that would be late. */
	refuseExpectedLate: () => void;
	countWaiting: () => number;
}>;

type Waiter = Readonly<{
	req: AdmissionRequest;
	arrivedAtMillis: number;
	/** Monotonic time by which the first byte must be there. */
	dueMillis: number;
	decide: (decision: AdmissionDecision) => void;
}>;

type RankedWaiter = Readonly<{waiter: Waiter; rank: DispatchKey; admittedRate: number}>;

/** Order of service: by rank; beyond the share, the account that had least; then whichever is due first. */
function compareRanked(left: RankedWaiter, right: RankedWaiter): number {
	return compareDispatchKeys(left.rank, right.rank)
		|| (left.rank.tier === 2 ? left.admittedRate - right.admittedRate : 0)
		|| left.waiter.dueMillis - right.waiter.dueMillis;
}

/** Creates the lane of one service. */
export function createServiceAdmission({clock, random}: Readonly<{clock: Clock; random: RandomSource}>): ServiceAdmission {
	const limit = createConcurrencyLimit();
	const shares = createFairShares();
	const firstBytes = new Map<string, FirstByteEstimate>();
	const demand = createArrivalRates();
	const calendar = createRetryScheduler(random);
	let waiting: readonly Waiter[] = [];

	/** Backend servers honour priorities, so each class has an estimate of its own. */
	function readFirstByte(workClass: WorkClass): FirstByteEstimate {
		const known = firstBytes.get(workClass.name);
		if (known) {
			return known;
		}

		const estimate = createFirstByteEstimate(workClass.lateShare);
		firstBytes.set(workClass.name, estimate);
		return estimate;
	}

	function readRank(req: AdmissionRequest, nowMillis: number): DispatchKey {
		return {tier: shares.readTier(req.account, req.workClass.priority, nowMillis), priority: req.workClass.priority};
	}

	function rankWaiting(nowMillis: number): readonly RankedWaiter[] {
		return waiting
			.map(waiter => ({
				waiter,
				rank: readRank(waiter.req, nowMillis),
				admittedRate: shares.readAdmittedRate(waiter.req.account, nowMillis),
			}))
			.toSorted(compareRanked);
	}

	/** Expected time until a waiting request is dispatched: those before it, and those that will come and be served before it. */
	function estimateWaitMillis(rank: DispatchKey, ahead: number, nowMillis: number): number {
		const rate = limit.readCompletionRate() - demand.readRateAhead(rank, nowMillis);
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
					readFirstByte(req.workClass).note(nowMillis - dispatchedAtMillis, nowMillis > dueMillis, nowMillis);
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
			const first = rankWaiting(nowMillis)[0]?.waiter;
			waiting = waiting.filter(waiter => waiter !== first);
			if (first) {
				dispatch(first, nowMillis);
			}
		}
	}

	function chooseReason(waiter: Waiter, nowMillis: number): RefusalReason {
		if (waiter.req.remainingMillis < readFirstByte(waiter.req.workClass).read(nowMillis)) {
			return 'deadline';
		}

		const isOver = readRank(waiter.req, nowMillis).tier > 0;
		return isOver && shares.hasOtherAccounts(waiter.req.account) ? 'fair_share' : 'overload';
	}

	function refuse(waiter: Waiter, nowMillis: number): void {
		const retryAfterMillis = calendar.scheduleRetry(nowMillis, limit.readCompletionRate());
		waiter.decide({tag: 'refused', reason: chooseReason(waiter, nowMillis), retryAfterMillis});
	}

	function refuseHopeless(): void {
		const nowMillis = clock.monotonicMillis();
		const kept: Waiter[] = [];
		const hopeless: Waiter[] = [];
		for (const {waiter, rank} of rankWaiting(nowMillis)) {
			const waitMillis = estimateWaitMillis(rank, kept.length, nowMillis);
			const isLate = nowMillis + waitMillis + readFirstByte(waiter.req.workClass).read(nowMillis) > waiter.dueMillis;
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
			shares.noteDemand(req.account, req.workClass.priority, nowMillis);
			demand.note(readRank(req, nowMillis), nowMillis);
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
		refuseExpectedLate: refuseHopeless,
		countWaiting: () => waiting.length,
	};
}
