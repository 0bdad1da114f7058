/** Chooses how long feeds wait, so that all entries together call the store at a rate that does not grow with their number. */
import type {RandomSource} from '../decisions/random.js';
import {FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS, MIN_RETRY_CAP_MILLIS} from './follow-table-constants.js';

/** Shortest wait for a change, in milliseconds. */
const MIN_WAIT_MILLIS = 2000;
/** Longest wait for a change that the platform's store allows, in milliseconds. */
const MAX_WAIT_MILLIS = 30_000;
/** Range of the waits for each entry, in milliseconds; the entries' calls then end once or twice a second, at any number of them. */
const WAIT_RANGE_PER_ENTRY_MILLIS = 2000;
/** Longest pause after a failed call for each entry, in milliseconds. */
const RETRY_CAP_PER_ENTRY_MILLIS = 70;

/** Draws the wait of one call; drawn anew each time, because a change ends the waits of all entries at once. */
export function chooseLongPollMillis(entries: number, random: RandomSource): number {
	const rangeMillis = Math.min(MAX_WAIT_MILLIS - MIN_WAIT_MILLIS, entries * WAIT_RANGE_PER_ENTRY_MILLIS);
	return Math.round(MIN_WAIT_MILLIS + (random() * rangeMillis));
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
