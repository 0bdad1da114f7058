import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../decisions/random.js';
import {sum} from '../../decisions/sum.js';
import {chooseLongPollMillis, chooseRetryBackoff} from '../long-poll.js';

const DRAWS = 2000;
/** Tables that each entry follows. */
const FEEDS = 2;
/** Largest number of store calls of an entry in a calm second, from 15 entries on. */
const MAX_CALLS_PER_SECOND = 0.3;
/** Longest wait that the platform's store takes, in milliseconds. */
const MAX_WAIT_MILLIS = 30_000;
/** Shortest bound on how soon a change must take effect after a silent loss of all connections, in milliseconds. */
const MAX_GAP_MILLIS = 2000;

function drawWaits(entries: number): readonly number[] {
	const random = createSeededRandom(entries);
	return Array.from({length: DRAWS}, () => chooseLongPollMillis(entries, random));
}

void test('the calls of an entry in calm times do not grow with the number of entries', () => {
	for (const entries of [15, 34, 99, 350]) {
		const waits = drawWaits(entries);
		const callsPerSecond = FEEDS * 1000 / (sum(waits) / DRAWS);
		assert.ok(callsPerSecond <= MAX_CALLS_PER_SECOND, `${callsPerSecond} calls a second at ${entries} entries`);
		assert.ok(Math.max(...waits) <= MAX_WAIT_MILLIS);
	}
});

void test('when all entries begin to wait at once, one of their calls ends soon, at any number of them', () => {
	for (const entries of [1, 2, 6, 15, 99]) {
		const waits = drawWaits(entries);
		const perRound = FEEDS * entries;
		const firstEnds = Array.from({length: Math.floor(DRAWS / perRound)}, (_, i) => Math.min(...waits.slice(i * perRound, (i + 1) * perRound)));
		const meanMillis = sum(firstEnds) / firstEnds.length;
		assert.ok(meanMillis <= 2000 + MAX_GAP_MILLIS, `${meanMillis} ms at ${entries} entries`);
	}
});

void test('all entries together repeat failed calls at a rate that the store can refuse, and notice its return within the bound', () => {
	for (const entries of [1, 6, 15, 99, 350]) {
		const {initialMillis, maxMillis} = chooseRetryBackoff(entries);
		assert.ok(initialMillis <= maxMillis && maxMillis < MAX_GAP_MILLIS, `${maxMillis} ms at ${entries} entries`);
	}
});
