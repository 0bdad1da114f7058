import {
	addEvent, emptyCount, readRate, type DecayedCount,
} from './decayed-rate.js';
import type {ShareStanding} from './fair-shares.js';

/** Time constant of the rates. */
const RATE_TIME_CONSTANT_MILLIS = 5000;

/** Place of a request in the order of service. */
export type ServiceRank = Readonly<{
	/** How it stands against the fair share of its account; smaller goes first. */
	standing: ShareStanding;
	/** Priority of its class; larger goes first. */
	priority: number;
}>;

/**
 * Compares ranks; negative when `left` is served first. Priorities do not count between accounts within their shares: their
 * requests all fit, and which is due first decides.
 */
export function compareRanks(left: ServiceRank, right: ServiceRank): number {
	const byStanding = left.standing - right.standing;
	return byStanding === 0 && left.standing > 0 ? right.priority - left.priority : byStanding;
}

/** Arrivals lately by rank. */
export type RankDemand = Readonly<{
	note: (rank: ServiceRank, nowMillis: number) => void;
	/** Arrivals a millisecond of ranks served before this one. */
	readRateBefore: (rank: ServiceRank, nowMillis: number) => number;
}>;

/** Creates an empty count. */
export function createRankDemand(): RankDemand {
	const counts = new Map<string, Readonly<{rank: ServiceRank; count: DecayedCount}>>();

	return {
		note(rank, nowMillis) {
			const key = `${rank.standing} ${rank.priority}`;
			const count = counts.get(key)?.count ?? emptyCount;
			counts.set(key, {rank, count: addEvent(count, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		readRateBefore(rank, nowMillis) {
			let rate = 0;
			for (const item of counts.values()) {
				rate += compareRanks(item.rank, rank) < 0 ? readRate(item.count, nowMillis, RATE_TIME_CONSTANT_MILLIS) : 0;
			}

			return rate;
		},
	};
}
