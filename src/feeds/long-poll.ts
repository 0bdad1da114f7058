/** Chooses how long feeds wait, so that all entries together call the store at a rate that does not grow with their number. */
import type {RandomSource} from '../decisions/random.js';
import {FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, MIN_RETRY_CAP_MILLIS} from './follow-table-constants.js';

/** Longest wait for a change that the platform's store allows, in milliseconds. */
const MAX_WAIT_MILLIS = 30_000;
/** Shortest wait, so that one that ends a little early is not followed by another one for the same moment, in milliseconds. */
const MIN_WAIT_MILLIS = 50;
/** Time between two ends of waits on a table, of all entries together, in milliseconds. */
const SLOT_MILLIS = 1200;
/** Longest pause after a failed call for each entry, in milliseconds. */
const RETRY_CAP_PER_ENTRY_MILLIS = 70;

/** Place of an entry among those that follow the same tables. */
export type FeedSlot = Readonly<{
	/** From 0, in an order on which the entries agree. */
	index: number;
	entries: number;
	/** Part of a slot by which the waits of a table are shifted against those of other tables; from 0 to 1. */
	shift: number;
}>;

/** Longest time between two calls of an entry, in milliseconds. */
export function chooseCycleMillis(entries: number): number {
	return Math.min(MAX_WAIT_MILLIS - MIN_WAIT_MILLIS, entries * SLOT_MILLIS);
}

/**
 * Chooses the wait of one call. The waits of the entries end in turn, by the clock of the store, so that one of them soon shows that open
 * connections are dead, also where a change has begun all waits anew. `storeMillis` is that clock.
 */
export function chooseLongPollMillis({index, entries, shift}: FeedSlot, storeMillis: number): number {
	const cycleMillis = chooseCycleMillis(entries);
	const dueMillis = (index + shift) * cycleMillis / entries;
	const waitMillis = Math.round((((dueMillis - storeMillis) % cycleMillis) + cycleMillis) % cycleMillis);
	return waitMillis < MIN_WAIT_MILLIS ? Math.round(waitMillis + cycleMillis) : waitMillis;
}

/** Draws the wait of one call for a table that changes seldom, at any number of entries. */
export function chooseSeldomLongPollMillis(random: RandomSource): number {
	return Math.round(MAX_WAIT_MILLIS * (1 + random()) / 2);
}

/** Delays after failed calls, as chosen by one of `entries`. */
export function chooseRetryBackoff(entries: number): Readonly<{initialMillis: number; maxMillis: number}> {
	return {
		initialMillis: FIRST_RETRY_MILLIS,
		maxMillis: Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_CAP_MILLIS, entries * RETRY_CAP_PER_ENTRY_MILLIS)),
	};
}
