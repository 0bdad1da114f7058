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

type Usage = Readonly<{demand: DecayedCount; admitted: DecayedCount}>;

/** Fair shares of one service's capacity between client accounts. */
export type FairShares = Readonly<{
	noteDemand: (account: AccountName, nowMillis: number) => void;
	noteAdmitted: (account: AccountName, nowMillis: number) => void;
	/** Whether the account asks for more than its fair share and has had that share. */
	isOver: (account: AccountName, nowMillis: number) => boolean;
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

/** Creates fair shares over a capacity, in requests a millisecond, that is read when needed. */
export function createFairShares(readCapacity: () => number): FairShares {
	const usages = new Map<AccountName, Usage>();
	let fairRate = Infinity;
	let refreshedAtMillis = -Infinity;

	function read(account: AccountName): Usage {
		return usages.get(account) ?? {demand: emptyCount, admitted: emptyCount};
	}

	function readDemandRate(usage: Usage, nowMillis: number): number {
		return readRate(usage.demand, nowMillis, RATE_TIME_CONSTANT_MILLIS);
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
			fairRate = computeFairRate(demands, readCapacity());
		}

		return fairRate;
	}

	return {
		noteDemand(account, nowMillis) {
			const usage = read(account);
			usages.set(account, {...usage, demand: addEvent(usage.demand, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		noteAdmitted(account, nowMillis) {
			const usage = read(account);
			usages.set(account, {...usage, admitted: addEvent(usage.admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		isOver(account, nowMillis) {
			const usage = read(account);
			const limit = readFairRate(nowMillis);
			return readDemandRate(usage, nowMillis) > limit && readRate(usage.admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS) > limit;
		},
		readAdmittedRate: (account, nowMillis) => readRate(read(account).admitted, nowMillis, RATE_TIME_CONSTANT_MILLIS),
	};
}
