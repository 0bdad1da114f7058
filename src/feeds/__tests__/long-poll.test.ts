import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {chooseCycleMillis, chooseLongPollMillis, chooseRetryBackoff} from '../long-poll.js';

/** Tables that each entry follows, by the shifts of their waits. */
const SHIFTS = [0, 0.5];
/** Largest number of store calls of an entry in a calm second, from 15 entries on. */
const MAX_CALLS_PER_SECOND = 0.3;
/** Longest wait that the platform's store takes, in milliseconds. */
const MAX_WAIT_MILLIS = 30_000;
/** Shortest bound on how soon a change must take effect after a silent loss of all connections, in milliseconds. */
const MAX_GAP_MILLIS = 2000;
/** Time from the end of a wait until all entries have called on other connections: for the late answer, the backoff and the delay of the others, in milliseconds. */
const RENEWAL_MILLIS = 600 + 100 + 300;

void test('the calls of an entry in calm times do not grow with the number of entries', () => {
	for (const entries of [15, 34, 99, 350]) {
		const callsPerSecond = SHIFTS.length * 1000 / chooseCycleMillis(entries);
		assert.ok(callsPerSecond <= MAX_CALLS_PER_SECOND, `${callsPerSecond} calls a second at ${entries} entries`);
	}
});

void test('a wait is never longer than the store takes, and the next one after its end is a whole cycle', () => {
	fc.assert(fc.property(fc.integer({min: 1, max: 500}), fc.nat(), fc.constantFrom(...SHIFTS), fc.double({min: 0, max: 1e9, noNaN: true}), (entries, seed, shift, storeMillis) => {
		const slot = {index: seed % entries, entries, shift};
		const waitMillis = chooseLongPollMillis(slot, storeMillis);
		assert.ok(waitMillis > 0 && waitMillis <= MAX_WAIT_MILLIS);
		assert.ok(Math.abs(chooseLongPollMillis(slot, storeMillis + waitMillis) - chooseCycleMillis(entries)) <= 1);
	}));
});

void test('whenever all entries begin to wait at once, one of their calls ends so soon that all can call again within the bound', () => {
	fc.assert(fc.property(fc.constantFrom(1, 2, 6, 15, 99), fc.double({min: 0, max: 1e6, noNaN: true}), (entries, storeMillis) => {
		const waits = SHIFTS.flatMap(shift => Array.from({length: entries}, (_, index) => chooseLongPollMillis({index, entries, shift}, storeMillis)));
		assert.ok(Math.min(...waits) + RENEWAL_MILLIS <= MAX_GAP_MILLIS, `${Math.min(...waits)} ms at ${entries} entries`);
	}));
});

void test('all entries together repeat failed calls at a rate that the store can refuse, and notice its return within the bound', () => {
	for (const entries of [1, 6, 15, 99, 350]) {
		const {initialMillis, maxMillis} = chooseRetryBackoff(entries);
		assert.ok(initialMillis <= maxMillis && maxMillis < MAX_GAP_MILLIS, `${maxMillis} ms at ${entries} entries`);
	}
});
