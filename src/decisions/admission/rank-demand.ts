import {
	addEvent, emptyCount, readRate, type DecayedCount,
} from './decayed-rate.js';
import type {ShareStanding} from './fair-shares.js';

/** Time constant of the decayed rates. */
const RATE_TIME_CONSTANT_MILLIS = 5000;

/** Sort key of a request in the order of dispatch. */
export type ServiceRank = Readonly<{
	/** Tier relative to the fair share of its account; smaller is dispatched first. */
	standing: ShareStanding;
	/** Priority of its class; larger is dispatched first. */
	priority: number;
}>;

/**
 * Compares keys; negative when `left` is dispatched first. Priorities are ignored between accounts within their shares: their
 * requests all fit, and the earliest due time decides.
 */
export function compareRanks(left: ServiceRank, right: ServiceRank): number {
	const byTier = left.standing - right.standing;
	return byTier === 0 && left.standing > 0 ? right.priority - left.priority : byTier;
}

/** Recent arrival rates by dispatch key. */
export type RankDemand = Readonly<{
	note: (key: ServiceRank, nowMillis: number) => void;
	/** Arrivals per millisecond of requests that are dispatched before this key. */
	readRateBefore: (key: ServiceRank, nowMillis: number) => number;
}>;

/** Creates rates without arrivals. */
export function createRankDemand(): RankDemand {
	const counts = new Map<string, Readonly<{key: ServiceRank; count: DecayedCount}>>();

	return {
		note(key, nowMillis) {
			const id = `${key.standing} ${key.priority}`;
			const count = counts.get(id)?.count ?? emptyCount;
			counts.set(id, {key, count: addEvent(count, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		readRateBefore(key, nowMillis) {
			let rate = 0;
			for (const item of counts.values()) {
				rate += compareRanks(item.key, key) < 0 ? readRate(item.count, nowMillis, RATE_TIME_CONSTANT_MILLIS) : 0;
			}

			return rate;
		},
	};
}
