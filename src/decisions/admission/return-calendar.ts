import type {RandomSource} from '../random.js';

/** Width of the time slots in which arrivals and returns are counted. */
const SLOT_MILLIS = 1000;
/** Slots of arrivals from which the usual load is taken. */
const HISTORY_SLOTS = 60;
/** Shortest time after which a refused caller is asked back. */
const MIN_RETURN_MILLIS = 1000;
/** Longest time after which a refused caller is asked back. */
const MAX_RETURN_MILLIS = 240_000;
/** Share of the capacity that usual load and returns together may use. */
const USABLE_SHARE = 0.93;
/** Share of the capacity given to returns when the usual load leaves none. */
const MIN_SPARE_SHARE = 0.02;
/** Width of the random part of a return time. */
const JITTER_MILLIS = 1000;

/** Times at which refused callers are asked back, so that they find room and do not return in step. */
export type ReturnCalendar = Readonly<{
	/** Counts a request that asked for admission. */
	noteArrival: (nowMillis: number) => void;
	/** Books the next return and gives the time until then, in milliseconds. `drainRate` is in requests a millisecond. */
	book: (nowMillis: number, drainRate: number) => number;
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
export function createReturnCalendar(random: RandomSource): ReturnCalendar {
	const arrivals = new Map<number, number>();
	const returns = new Map<number, number>();
	let nextReturnMillis = -Infinity;
	let firstSlot: number | undefined;

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

	function chooseReturn(nowMillis: number, drainRate: number): number {
		const spareRate = readSpareRate(nowMillis, drainRate);
		const next = Math.max(nowMillis + MIN_RETURN_MILLIS, nextReturnMillis) + (1 / spareRate);
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
			addToSlot(arrivals, slot);
			dropBefore(arrivals, slot - HISTORY_SLOTS);
			dropBefore(returns, slot - HISTORY_SLOTS);
		},
		book(nowMillis, drainRate) {
			const returnMillis = chooseReturn(nowMillis, drainRate);
			addToSlot(returns, Math.floor(returnMillis / SLOT_MILLIS));
			return Math.ceil(returnMillis - nowMillis);
		},
	};
}
