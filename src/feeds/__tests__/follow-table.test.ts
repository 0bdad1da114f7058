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
const HISTORY_LOST: Answer = fail({tag: 'history_lost', isRestored: false});
const RESTORED: Answer = fail({tag: 'history_lost', isRestored: true});
const UNAVAILABLE: Answer = fail({tag: 'unavailable', detail: 'ECONNREFUSED'});
const SILENT: Answer = fail({tag: 'unavailable', detail: 'timed out', isTimeout: true});

function ignore(): void {
	// The rows are not checked.
}

/** Follows a table whose feed gives these answers; returns the calls and listener events in order, and the pauses. */
async function follow(answers: readonly Answer[]) {
	const events: string[] = [];
	const pauses: number[] = [];
	const stop = new AbortController();
	let next = 0;
	const answerNext = (call: string): Answer => {
		events.push(call);
		const answer = answers[next];
		next++;
		if (next >= answers.length) {
			stop.abort();
		}

		return answer ?? UNAVAILABLE;
	};

	const clock: Clock = {
		now: () => new Date(0),
		monotonicMillis: () => 0,
		async sleep(millis) {
			pauses.push(millis);
		},
	};
	await followTable({
		feed: {readAll: async () => answerNext('all'), readChanges: async (_table, after) => answerNext(`after ${after}`)},
		table: 't',
		clock,
		log: silentLog,
		random: () => 1,
		signal: stop.signal,
		chooseWaitMillis: () => 1000,
		minIntervalMillis: 30,
		listener: {
			onSnapshot(rows, {isAfterOutage}) {
				events.push(`snapshot ${rows.length}${isAfterOutage ? ' regained' : ''}`);
			},
			onChanges(rows, {isAfterOutage}) {
				events.push(`changes ${rows.length}${isAfterOutage ? ' regained' : ''}`);
			},
		},
		observer: {
			onAnswer: ignore,
			onFailure: ignore,
			onSilence() {
				events.push('silence');
			},
		},
	});
	return {events, pauses};
}

void test('a table is read once and then followed from the version of that read', async () => {
	const {events} = await follow([page(5, [ROW]), page(6, [ROW]), page(9)]);
	assert.deepEqual(events, ['all', 'snapshot 1', 'after 5', 'changes 1', 'after 6', 'changes 0']);
});

void test('all rows are read again when the history is lost', async () => {
	const {events} = await follow([page(5), HISTORY_LOST, page(20, [ROW]), page(21)]);
	assert.deepEqual(events, ['all', 'snapshot 0', 'after 5', 'all', 'snapshot 1', 'after 20', 'changes 0']);
});

void test('after the store has returned from an older copy all rows are read again, and the listener is told that rows may be missing', async () => {
	const {events} = await follow([page(5), RESTORED, page(20, [ROW]), page(21)]);
	assert.deepEqual(events, ['all', 'snapshot 0', 'after 5', 'all', 'snapshot 1 regained', 'after 20', 'changes 0']);
});

void test('after an outage the changes since then are read, and the listener is told of the outage', async () => {
	const {events, pauses} = await follow([page(5), UNAVAILABLE, UNAVAILABLE, UNAVAILABLE, page(7, [ROW]), page(8)]);
	assert.deepEqual(events, ['all', 'snapshot 0', 'after 5', 'after 5', 'after 5', 'after 5', 'changes 1 regained', 'after 7', 'changes 0']);
	assert.deepEqual(pauses, [30, 50, 100, 200, 30, 30], 'failures back off, answers keep the minimum interval');
});

void test('an outage with loss of the history ends with a snapshot that is marked as following an outage', async () => {
	const {events} = await follow([page(5), UNAVAILABLE, HISTORY_LOST, page(30), page(31)]);
	assert.deepEqual(events, ['all', 'snapshot 0', 'after 5', 'after 5', 'all', 'snapshot 0 regained', 'after 30', 'changes 0']);
});

void test('a feed that loses the store cancels the waiting calls of the others, which call again without waiting', async () => {
	const interrupt = createFeedInterrupt();
	const stop = new AbortController();
	const waits: number[] = [];
	const clock: Clock = {
		now: () => new Date(0), monotonicMillis: () => 0, async sleep() {
			await nextTurn();
		},
	};
	const shared = {
		clock, log: silentLog, random: () => 1, signal: stop.signal, chooseWaitMillis: () => 5000, minIntervalMillis: 0, listener: {onSnapshot: ignore, onChanges: ignore}, interrupt,
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

				// No answer arrives before the call is cancelled.
				await once(signal ?? stop.signal, 'abort');
				return UNAVAILABLE;
			},
		},
	});
	await nextTurn();
	await nextTurn();
	assert.deepEqual(waits, [5000]);
	await followTable({...shared, table: 'losing', feed: {readAll: async () => UNAVAILABLE, readChanges: async () => UNAVAILABLE}});
	await waiting;
	assert.deepEqual(waits, [5000, 0]);
});

void test('only a wait that times out and an answer to the very next call show that a connection is dead while the store is reachable', async () => {
	const silent = await follow([page(5), SILENT, page(7, [ROW]), page(8)]);
	assert.deepEqual(silent.events, ['all', 'snapshot 0', 'after 5', 'after 5', 'changes 1 regained', 'silence', 'after 7', 'changes 0']);
	for (const outage of [[SILENT, SILENT], [UNAVAILABLE], [UNAVAILABLE, SILENT], [SILENT, UNAVAILABLE]]) {
		// eslint-disable-next-line no-await-in-loop -- One after the other.
		const {events} = await follow([page(5), ...outage, page(7), page(8)]);
		assert.ok(!events.includes('silence'));
	}
});
