import {
	addEvent, emptyCount, readRate, type DecayedCount,
} from './decayed-rate.js';
import type {FairShareTier} from './fair-shares.js';

/** Time constant of the decayed rates. */
const RATE_TIME_CONSTANT_MILLIS = 5000;

/** Sort key of a request in the order of dispatch. */
export type DispatchKey = Readonly<{
	/** Tier relative to the fair share of its account; smaller is dispatched first. */
	tier: FairShareTier;
	/** Priority of its class; larger is dispatched first. */
	priority: number;
}>;

/**
 * Compares keys; negative when `left` is dispatched first. Priorities are ignored between accounts within their shares: their
 * requests all fit, and the earliest due time decides.
 */
export function compareDispatchKeys(left: DispatchKey, right: DispatchKey): number {
	const byTier = left.tier - right.tier;
	return byTier === 0 && left.tier > 0 ? right.priority - left.priority : byTier;
}

/** Recent arrival rates by dispatch key. */
export type ArrivalRates = Readonly<{
	note: (key: DispatchKey, nowMillis: number) => void;
	/** Arrivals per millisecond of requests that are dispatched before this key. */
	readRateAhead: (key: DispatchKey, nowMillis: number) => number;
}>;

/** Creates rates without arrivals. */
export function createArrivalRates(): ArrivalRates {
	const counts = new Map<string, Readonly<{key: DispatchKey; count: DecayedCount}>>();

	return {
		note(key, nowMillis) {
			const id = `${key.tier} ${key.priority}`;
			const count = counts.get(id)?.count ?? emptyCount;
			counts.set(id, {key, count: addEvent(count, nowMillis, RATE_TIME_CONSTANT_MILLIS)});
		},
		readRateAhead(key, nowMillis) {
			let rate = 0;
			for (const item of counts.values()) {
				rate += compareDispatchKeys(item.key, key) < 0 ? readRate(item.count, nowMillis, RATE_TIME_CONSTANT_MILLIS) : 0;
			}

			return rate;
		},
	};
}
