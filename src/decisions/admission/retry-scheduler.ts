import type {RandomSource} from '../random.js';
import {addEvent, emptyCount, readRate} from './decayed-rate.js';

/** Width of the time slots in which arrivals and returns are counted. */
const SLOT_MILLIS = 1000;
/** Slots of arrivals from which the usual load is taken. */
const HISTORY_SLOTS = 60;
/** Shortest time after which a refused caller is asked back. */
const MIN_RETURN_MILLIS = 1000;
/** Time that an overload is expected to go on at least; one that has lasted longer is expected to last as long again. */
const MIN_OVERLOAD_MILLIS = 10_000;
/** Arrivals over capacity from which on there is an overload. */
const OVERLOAD_FACTOR = 1.1;
/** Time constant of the arrivals that show an overload. */
const RECENT_TIME_CONSTANT_MILLIS = 1000;
/** Time after which an overload that is not seen any more is over. */
const OVERLOAD_END_MILLIS = 3000;
/** Longest time after which a refused caller is asked back. */
const MAX_RETURN_MILLIS = 240_000;
/** Share of the capacity that usual load and returns together may use. */
const USABLE_SHARE = 0.93;
/** Share of the capacity given to returns when the usual load leaves none. */
const MIN_SPARE_SHARE = 0.02;
/** Width of the random part of a return time. */
const JITTER_MILLIS = 1000;

/** Times at which refused callers are asked back, so that they find room and do not return in step. */
export type RetryScheduler = Readonly<{
	/** Counts a request that asked for admission. */
	noteArrival: (nowMillis: number) => void;
	/** Books the next return and gives the time until then, in milliseconds. `drainRate` is in requests a millisecond. */
	scheduleRetry: (nowMillis: number, drainRate: number) => number;
}>;

function median(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor(sorted.length / 2)] ?? 0;
}

function addToSlot(slots: Map<number, number>, slot: number): void {
	slots.set(slot, (slots.get(slot) ?? 0) + 1);
}

function dropBefore(slots: Map<number, number>, slot: number): void {
	for (const key of slots.keys()) {
		if (key < slot) {
			slots.delete(key);
		}
	}
}

/** Creates an empty calendar. */
export function createRetryScheduler(random: RandomSource): RetryScheduler {
	const arrivals = new Map<number, number>();
	const returns = new Map<number, number>();
	let nextReturnMillis = -Infinity;
	let firstSlot: number | undefined;
	let recent = emptyCount;
	let overload: Readonly<{sinceMillis: number; seenAtMillis: number}> | undefined;

	/** Usual arrivals a millisecond that are no returns: the median, which a short burst does not move. */
	function readUsualRate(nowMillis: number): number {
		const current = Math.floor(nowMillis / SLOT_MILLIS);
		const from = Math.max(firstSlot ?? current, current - HISTORY_SLOTS);
		const fresh: number[] = [];
		for (let slot = from; slot < current; slot++) {
			fresh.push(Math.max(0, (arrivals.get(slot) ?? 0) - (returns.get(slot) ?? 0)));
		}

		return median(fresh) / SLOT_MILLIS;
	}

	function readSpareRate(nowMillis: number, drainRate: number): number {
		const spare = (drainRate * USABLE_SHARE) - readUsualRate(nowMillis);
		return Math.max(spare, drainRate * MIN_SPARE_SHARE);
	}

	function updateOverload(nowMillis: number, drainRate: number): void {
		if (readRate(recent, nowMillis, RECENT_TIME_CONSTANT_MILLIS) > drainRate * OVERLOAD_FACTOR) {
			overload = {sinceMillis: overload?.sinceMillis ?? nowMillis, seenAtMillis: nowMillis};
		} else if (overload && nowMillis - overload.seenAtMillis > OVERLOAD_END_MILLIS) {
			overload = undefined;
		}
	}

	/** Time until a return can find room at the earliest: after the overload, as far as that can be told. */
	function readEarliestMillis(nowMillis: number): number {
		return overload ? Math.max(MIN_OVERLOAD_MILLIS, nowMillis - overload.sinceMillis) : MIN_RETURN_MILLIS;
	}

	function chooseReturn(nowMillis: number, drainRate: number): number {
		const spareRate = readSpareRate(nowMillis, drainRate);
		const next = Math.max(nowMillis + readEarliestMillis(nowMillis), nextReturnMillis) + (1 / spareRate);
		if (next - nowMillis > MAX_RETURN_MILLIS) {
			return nowMillis + (MAX_RETURN_MILLIS * (0.5 + (random() * 0.5)));
		}

		nextReturnMillis = next;
		return next + (random() * JITTER_MILLIS);
	}

	return {
		noteArrival(nowMillis) {
			const slot = Math.floor(nowMillis / SLOT_MILLIS);
			firstSlot ??= slot;
			recent = addEvent(recent, nowMillis, RECENT_TIME_CONSTANT_MILLIS);
			addToSlot(arrivals, slot);
			dropBefore(arrivals, slot - HISTORY_SLOTS);
			dropBefore(returns, slot - HISTORY_SLOTS);
		},
		scheduleRetry(nowMillis, drainRate) {
			updateOverload(nowMillis, drainRate);
			const returnMillis = chooseReturn(nowMillis, drainRate);
			addToSlot(returns, Math.floor(returnMillis / SLOT_MILLIS));
			return Math.ceil(returnMillis - nowMillis);
		},
	};
}
