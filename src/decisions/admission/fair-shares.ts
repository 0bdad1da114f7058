import type {AccountName} from '../../core/ids.js';
import {
	addEvent, emptyCount, readRate, type DecayedCount,
} from './decayed-rate.js';

/** Time constant of an account's decayed rates. */
const RATE_TIME_CONSTANT_MILLIS = 10_000;
/** Accounts without a request for this long are evicted. */
const IDLE_ACCOUNT_TTL_MILLIS = 120_000;
/** Minimum time between two computations of the fair rate. */
const FAIR_RATE_REFRESH_MILLIS = 100;

type Usage = Readonly<{
	/** All requests. */
	demand: DecayedCount;
	/** Requests by priority of their class. */
	demandByPriority: ReadonlyMap<number, DecayedCount>;
	admitted: DecayedCount;
}>;

/**
 * 0: the account's whole demand is within its share. 1: the account demands more, and this request is in the part that the
 * share covers, which is filled from the highest priority down. 2: the request exceeds the share.
 */
export type FairShareTier = 0 | 1 | 2;

/** Divides one service's capacity fairly between client accounts. */
export type FairShares = Readonly<{
	noteDemand: (account: AccountName, priority: number, nowMillis: number) => void;
	noteAdmitted: (account: AccountName, nowMillis: number) => void;
	/** Tier of a request relative to the fair share of its account. */
	readTier: (account: AccountName, priority: number, nowMillis: number) => FairShareTier;
	/** Whether any other account has sent requests recently. */
	hasOtherAccounts: (account: AccountName) => boolean;
	/** Recent rate of admitted requests, per millisecond. */
	readAdmittedRate: (account: AccountName, nowMillis: number) => number;
}>;

/**
 * Computes the max-min fair rate: the largest rate such that the demands, each capped to it, fit into the capacity. Infinite
 * when all demands fit uncapped. Rates and capacity are in the same unit.
 */
export function computeFairRate(demands: readonly number[], capacity: number): number {
	let remainingCapacity = capacity;
	let remainingAccounts = demands.length;
	for (const demand of demands.toSorted((left, right) => left - right)) {
		const equalShare = remainingCapacity / remainingAccounts;
		if (demand > equalShare) {
			return equalShare;
		}

		remainingCapacity -= demand;
		remainingAccounts -= 1;
	}

	return Infinity;
}

/**
 * Creates fair shares of an unknown capacity, which is estimated by the recent rate of admitted requests over all accounts.
 * It is only used while requests wait, when that rate is what the backend servers can handle.
 */
export function createFairShares(): FairShares {
	const usages = new Map<AccountName, Usage>();
	let total = emptyCount;
	let fairRate = Infinity;
	let refreshedAtMillis = -Infinity;

	function readUsage(account: AccountName): Usage {
		return usages.get(account) ?? {demand: emptyCount, demandByPriority: new Map(), admitted: emptyCount};
	}

	function readDemandRate(usage: Usage, nowMillis: number): number {
		return readRate(usage.demand, nowMillis, RATE_TIME_CONSTANT_MILLIS);
	}

	/** Requests per millisecond of classes with a larger priority. */
	function readHigherPriorityDemand(usage: Usage, priority: number, nowMillis: number): number {
		let rate = 0;
		for (const [other, count] of usage.demandByPriority) {
			rate += other > priority ? readRate(count, nowMillis, RATE_TIME_CONSTANT_MILLIS) : 0;
		}

		return rate;
	}

	function readDemandAt(usage: Usage, priority: number, nowMillis: number): number {
		return readRate(usage.demandByPriority.get(priority) ?? emptyCount, nowMillis, RATE_TIME_CONSTANT_MILLIS);
	}

	function isWithinShare(usage: Usage, priority: number, limit: number, nowMillis: number): boolean {
		const higherPriorityDemand = readHigherPriorityDemand(usage, priority, nowMillis);
		if (higherPriorityDemand + readDemandAt(usage, priority, nowMillis) <= limit) {
			return true;
		}

		return higherPriorityDemand < limit && readRate(usage.admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS) <= limit;
	}

	function evictIdleAccounts(nowMillis: number): void {
		for (const [account, usage] of usages) {
			if (nowMillis - usage.demand.atMillis > IDLE_ACCOUNT_TTL_MILLIS) {
				usages.delete(account);
			}
		}
	}

	function readFairRate(nowMillis: number): number {
		if (nowMillis - refreshedAtMillis >= FAIR_RATE_REFRESH_MILLIS) {
			refreshedAtMillis = nowMillis;
			evictIdleAccounts(nowMillis);
			const demands = [...usages.values()].map(usage => readDemandRate(usage, nowMillis));
			fairRate = computeFairRate(demands, readRate(total, nowMillis, RATE_TIME_CONSTANT_MILLIS));
		}

		return fairRate;
	}

	return {
		noteDemand(account, priority, nowMillis) {
			const usage = readUsage(account);
			const atPriority = usage.demandByPriority.get(priority) ?? emptyCount;
			usages.set(account, {
				...usage,
				demand: addEvent(usage.demand, nowMillis, RATE_TIME_CONSTANT_MILLIS),
				demandByPriority: new Map(usage.demandByPriority).set(priority, addEvent(atPriority, nowMillis, RATE_TIME_CONSTANT_MILLIS)),
			});
		},
		noteAdmitted(account, nowMillis) {
			const usage = readUsage(account);
			total = addEvent(total, nowMillis, RATE_TIME_CONSTANT_MILLIS);
			usages.set(account, {...usage, admitted: addEvent(usage.admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		readTier(account, priority, nowMillis) {
			const usage = readUsage(account);
			const limit = readFairRate(nowMillis);
			if (readDemandRate(usage, nowMillis) <= limit) {
				return 0;
			}

			return isWithinShare(usage, priority, limit, nowMillis) ? 1 : 2;
		},
		hasOtherAccounts: account => usages.size > (usages.has(account) ? 1 : 0),
		readAdmittedRate: (account, nowMillis) => readRate(readUsage(account).admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS),
	};
}
