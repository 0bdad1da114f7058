import type {AccountName} from '../../core/ids.js';
import {
	addEvent, emptyCount, readRate, type DecayedCount,
} from './decayed-rate.js';

/** Time constant of the rates of an account. */
const RATE_TIME_CONSTANT_MILLIS = 10_000;
/** Accounts without a request for this long are forgotten. */
const FORGET_AFTER_MILLIS = 120_000;
/** Time between two computations of the fair rate. */
const REFRESH_MILLIS = 100;

type Usage = Readonly<{
	/** All requests. */
	demand: DecayedCount;
	/** Requests by priority of their class. */
	demandByPriority: ReadonlyMap<number, DecayedCount>;
	admitted: DecayedCount;
}>;

/**
 * 0: all that the account asks for is within its share. 1: the account asks for more, and this request is in the part that its
 * share covers, which is filled from its highest priority down. 2: the request is beyond the share.
 */
export type FairShareTier = 0 | 1 | 2;

/** Fair shares of one service's capacity between client accounts. */
export type FairShares = Readonly<{
	noteDemand: (account: AccountName, priority: number, nowMillis: number) => void;
	noteAdmitted: (account: AccountName, nowMillis: number) => void;
	/** Where a request stands against the fair share of its account. */
	readTier: (account: AccountName, priority: number, nowMillis: number) => FairShareTier;
	/** Whether any other account has asked for anything lately. */
	hasOtherAccounts: (account: AccountName) => boolean;
	/** Requests admitted lately, a millisecond. */
	readAdmittedRate: (account: AccountName, nowMillis: number) => number;
}>;

/**
 * The max-min fair rate: the largest rate such that the demands, each cut to it, fit into the capacity. Infinite when all
 * fit whole. Rates and capacity are in the same unit.
 */
export function computeFairRate(demands: readonly number[], capacity: number): number {
	let leftCapacity = capacity;
	let leftAccounts = demands.length;
	for (const demand of demands.toSorted((left, right) => left - right)) {
		const level = leftCapacity / leftAccounts;
		if (demand > level) {
			return level;
		}

		leftCapacity -= demand;
		leftAccounts -= 1;
	}

	return Infinity;
}

/**
 * Creates fair shares of an unknown capacity: what was admitted lately over all accounts. It is only asked about while requests
 * wait, and then that is what the backend servers can do.
 */
export function createFairShares(): FairShares {
	const usages = new Map<AccountName, Usage>();
	let total = emptyCount;
	let fairRate = Infinity;
	let refreshedAtMillis = -Infinity;

	function read(account: AccountName): Usage {
		return usages.get(account) ?? {demand: emptyCount, demandByPriority: new Map(), admitted: emptyCount};
	}

	function readDemandRate(usage: Usage, nowMillis: number): number {
		return readRate(usage.demand, nowMillis, RATE_TIME_CONSTANT_MILLIS);
	}

	/** Requests a millisecond of classes with a larger priority. */
	function readDemandAbove(usage: Usage, priority: number, nowMillis: number): number {
		let rate = 0;
		for (const [other, count] of usage.demandByPriority) {
			rate += other > priority ? readRate(count, nowMillis, RATE_TIME_CONSTANT_MILLIS) : 0;
		}

		return rate;
	}

	function readDemandAt(usage: Usage, priority: number, nowMillis: number): number {
		return readRate(usage.demandByPriority.get(priority) ?? emptyCount, nowMillis, RATE_TIME_CONSTANT_MILLIS);
	}

	function isCovered(usage: Usage, priority: number, limit: number, nowMillis: number): boolean {
		const above = readDemandAbove(usage, priority, nowMillis);
		if (above + readDemandAt(usage, priority, nowMillis) <= limit) {
			return true;
		}

		return above < limit && readRate(usage.admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS) <= limit;
	}

	function forgetIdle(nowMillis: number): void {
		for (const [account, usage] of usages) {
			if (nowMillis - usage.demand.atMillis > FORGET_AFTER_MILLIS) {
				usages.delete(account);
			}
		}
	}

	function readFairRate(nowMillis: number): number {
		if (nowMillis - refreshedAtMillis >= REFRESH_MILLIS) {
			refreshedAtMillis = nowMillis;
			forgetIdle(nowMillis);
			const demands = [...usages.values()].map(usage => readDemandRate(usage, nowMillis));
			fairRate = computeFairRate(demands, readRate(total, nowMillis, RATE_TIME_CONSTANT_MILLIS));
		}

		return fairRate;
	}

	return {
		noteDemand(account, priority, nowMillis) {
			const usage = read(account);
			const atPriority = usage.demandByPriority.get(priority) ?? emptyCount;
			usages.set(account, {
				...usage,
				demand: addEvent(usage.demand, nowMillis, RATE_TIME_CONSTANT_MILLIS),
				demandByPriority: new Map(usage.demandByPriority).set(priority, addEvent(atPriority, nowMillis, RATE_TIME_CONSTANT_MILLIS)),
			});
		},
		noteAdmitted(account, nowMillis) {
			const usage = read(account);
			total = addEvent(total, nowMillis, RATE_TIME_CONSTANT_MILLIS);
			usages.set(account, {...usage, admitted: addEvent(usage.admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		readTier(account, priority, nowMillis) {
			const usage = read(account);
			const limit = readFairRate(nowMillis);
			if (readDemandRate(usage, nowMillis) <= limit) {
				return 0;
			}

			return isCovered(usage, priority, limit, nowMillis) ? 1 : 2;
		},
		hasOtherAccounts: account => usages.size > (usages.has(account) ? 1 : 0),
		readAdmittedRate: (account, nowMillis) => readRate(read(account).admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS),
	};
}
