import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {Clock} from '../../core/clock.js';
import {fail, succeed, type Result} from '../../core/result.js';
import {silentLog} from '../../observability/log.js';
import type {FeedError, FeedPage, FeedRow} from '../../ports/table-feed.js';
import {createFeedInterrupt} from '../feed-interrupt.js';
import {followTable} from '../follow-table.js';

type Answer = Result<FeedPage, FeedError>;

function page(version: number, rows: readonly FeedRow[] = []): Answer {
	return succeed({rows, version, storeMillis: version});
}

const ROW: FeedRow = {key: 'k', text: 'v', version: 1};
const GONE: Answer = fail({tag: 'history_lost'});
const AWAY: Answer = fail({tag: 'unavailable', detail: 'ECONNREFUSED'});

function ignore(): void {
	// What the rows say is of no interest.
}

/** Follows a table that gives these answers; the calls made and what the listener was told. */
async function follow(answers: readonly Answer[]) {
	const told: string[] = [];
	const pauses: number[] = [];
	const stop = new AbortController();
	let next = 0;
	const take = (call: string): Answer => {
		told.push(call);
		const answer = answers[next];
		next++;
		if (next >= answers.length) {
			stop.abort();
		}

		return answer ?? AWAY;
	};

	const clock: Clock = {
		now: () => new Date(0),
		monotonicMillis: () => 0,
		async sleep(millis) {
			pauses.push(millis);
		},
	};
	await followTable({
		feed: {readAll: async () => take('all'), readChanges: async (_table, after) => take(`after ${after}`)},
		table: 't',
		clock,
		log: silentLog,
		random: () => 1,
		signal: stop.signal,
		waitMillis: 1000,
		minIntervalMillis: 30,
		listener: {
			onSnapshot(rows, {isAfterOutage: wasLost}) {
				told.push(`snapshot ${rows.length}${wasLost ? ' regained' : ''}`);
			},
			onChanges(rows, {isAfterOutage: wasLost}) {
				told.push(`changes ${rows.length}${wasLost ? ' regained' : ''}`);
			},
		},
	});
	return {told, pauses};
}

void test('a table is read once and then followed from its version', async () => {
	const {told} = await follow([page(5, [ROW]), page(6, [ROW]), page(9)]);
	assert.deepEqual(told, ['all', 'snapshot 1', 'after 5', 'changes 1', 'after 6', 'changes 0']);
});

void test('lost history is made good by reading all rows', async () => {
	const {told} = await follow([page(5), GONE, page(20, [ROW]), page(21)]);
	assert.deepEqual(told, ['all', 'snapshot 0', 'after 5', 'all', 'snapshot 1', 'after 20', 'changes 0']);
});

void test('an outage is followed by the changes since, and tells that the table was lost', async () => {
	const {told, pauses} = await follow([page(5), AWAY, AWAY, AWAY, page(7, [ROW]), page(8)]);
	assert.deepEqual(told, ['all', 'snapshot 0', 'after 5', 'after 5', 'after 5', 'after 5', 'changes 1 regained', 'after 7', 'changes 0']);
	assert.deepEqual(pauses, [30, 50, 100, 200, 30, 30], 'failures back off, answers keep the pace');
});

void test('an outage that also lost the history ends with a snapshot that says so', async () => {
	const {told} = await follow([page(5), AWAY, GONE, page(30), page(31)]);
	assert.deepEqual(told, ['all', 'snapshot 0', 'after 5', 'after 5', 'all', 'snapshot 0 regained', 'after 30', 'changes 0']);
});

void test('a feed that loses the store ends the waiting calls of the others, which ask anew at once', async () => {
	const interrupt = createFeedInterrupt();
	const stop = new AbortController();
	const waits: number[] = [];
	const clock: Clock = {
		now: () => new Date(0), monotonicMillis: () => 0, async sleep() {
			await nextTurn();
		},
	};
	const shared = {
		clock, log: silentLog, random: () => 1, signal: stop.signal, waitMillis: 5000, minIntervalMillis: 0, listener: {onSnapshot: ignore, onChanges: ignore}, interrupt,
	};
	const waiting = followTable({
		...shared,
		table: 'waiting',
		feed: {
			readAll: async () => page(5),
			async readChanges(_table, _after, waitMillis, signal) {
				waits.push(waitMillis);
				if (waitMillis === 0) {
					stop.abort();
					return page(6);
				}

				// An answer that never comes, until the call is given up.
				await once(signal ?? stop.signal, 'abort');
				return AWAY;
			},
		},
	});
	await nextTurn();
	await nextTurn();
	assert.deepEqual(waits, [5000]);
	await followTable({...shared, table: 'losing', feed: {readAll: async () => AWAY, readChanges: async () => AWAY}});
	await waiting;
	assert.deepEqual(waits, [5000, 0]);
});
