import {
	addEvent, emptyCount, readRate, type DecayedCount,
} from './decayed-rate.js';
import type {FairShareTier} from './fair-shares.js';

/** Time constant of the rates. */
const RATE_TIME_CONSTANT_MILLIS = 5000;

/** Place of a request in the order of service. */
export type DispatchKey = Readonly<{
	/** How it stands against the fair share of its account; smaller goes first. */
	tier: FairShareTier;
	/** Priority of its class; larger goes first. */
	priority: number;
}>;

/**
 * Compares ranks; negative when `left` is served first. Priorities do not count between accounts within their shares: their
 * requests all fit, and which is due first decides.
 */
export function compareDispatchKeys(left: DispatchKey, right: DispatchKey): number {
	const byStanding = left.tier - right.tier;
	return byStanding === 0 && left.tier > 0 ? right.priority - left.priority : byStanding;
}

/** Arrivals lately by rank. */
export type ArrivalRates = Readonly<{
	note: (rank: DispatchKey, nowMillis: number) => void;
	/** Arrivals a millisecond of ranks served before this one. */
	readRateAhead: (rank: DispatchKey, nowMillis: number) => number;
}>;

/** Creates an empty count. */
export function createArrivalRates(): ArrivalRates {
	const counts = new Map<string, Readonly<{rank: DispatchKey; count: DecayedCount}>>();

	return {
		note(rank, nowMillis) {
			const key = `${rank.tier} ${rank.priority}`;
			const count = counts.get(key)?.count ?? emptyCount;
			counts.set(key, {rank, count: addEvent(count, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		readRateAhead(rank, nowMillis) {
			let rate = 0;
			for (const item of counts.values()) {
				rate += compareDispatchKeys(item.rank, rank) < 0 ? readRate(item.count, nowMillis, RATE_TIME_CONSTANT_MILLIS) : 0;
			}

			return rate;
		},
	};
}
