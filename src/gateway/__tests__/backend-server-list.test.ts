import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../core/manual-clock.js';
import {silentLog} from '../../observability/log.js';
import type {FeedRow} from '../../ports/table-feed.js';
import type {BackendServer} from '../backend-server.js';
import {createBackendServerList} from '../backend-server-list.js';
import {EXPIRED_ENTRY_GRACE_MILLIS} from '../gateway-constants.js';

const READY: BackendServer = {
	id: 's1',
	incarnation: 100,
	service: 'llm',
	address: '10.0.0.1:1',
	failureDomain: 'a',
	slots: 8,
	state: 'ready',
	coldLeftMillis: 0,
	sequence: 5,
	group: undefined,
};

const UNINTERRUPTED = {storeMillis: 0, isAfterOutage: false};
const AFTER_OUTAGE = {storeMillis: 0, isAfterOutage: true};

/** Time after which a backend server whose entry was removed gets no more requests, in milliseconds; the platform's shortest bound. */
const DRAIN_BOUND_MILLIS = 2000;

/** Backend servers by their row text. */
const written = new Map<string, BackendServer>();

function row(server: BackendServer): FeedRow {
	const text = JSON.stringify(server);
	written.set(text, server);
	return {key: server.id, text, version: 1};
}

function removal(id: string): FeedRow {
	return {key: id, text: undefined, version: 2};
}

function createList(readFailureAgeMillis = () => Infinity) {
	const clock = createManualClock();
	clock.advance(60_000);
	const {servers, listener, noteLeaving} = createBackendServerList({
		clock,
		log: silentLog,
		read: (_id, text) => written.get(text),
		readFailureAgeMillis,
		drainMillis: DRAIN_BOUND_MILLIS,
	});
	return {
		clock, listener, noteLeaving, list: () => [...servers.read().values()],
	};
}

void test('an unreadable entry does not replace the known one', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	listener.onChanges([{key: 's1', text: 'torn', version: 3}], UNINTERRUPTED);
	assert.deepEqual(list(), [READY]);
});

void test('a stale entry does not make a draining backend server ready again', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row({...READY, state: 'draining', sequence: 6})], UNINTERRUPTED);
	listener.onChanges([row({...READY, sequence: 5})], UNINTERRUPTED);
	assert.equal(list()[0]?.state, 'draining');
});

void test('the entry sequence starts over after a restart with the same id', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row({...READY, state: 'draining', sequence: 60})], UNINTERRUPTED);
	listener.onChanges([row({...READY, incarnation: 101, sequence: 1})], UNINTERRUPTED);
	assert.equal(list()[0]?.state, 'ready');
	listener.onChanges([row({...READY, sequence: 61})], UNINTERRUPTED);
	assert.equal(list()[0]?.incarnation, 101, 'an entry of the former incarnation is stale');
});

void test('a backend server is dropped at once when its entry is removed', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	listener.onChanges([removal('s1')], UNINTERRUPTED);
	assert.deepEqual(list(), []);
});

for (const how of ['snapshot', 'changes'] as const) {
	void test(`entries that expired during a store outage have time to be written again: ${how}`, async () => {
		const {clock, listener, list} = createList();
		const second = {...READY, id: 's2'};
		listener.onSnapshot([row(READY), row(second)], UNINTERRUPTED);
		if (how === 'snapshot') {
			listener.onSnapshot([], AFTER_OUTAGE);
		} else {
			listener.onChanges([removal('s1'), removal('s2')], AFTER_OUTAGE);
		}

		assert.equal(list().length, 2, 'kept during the grace period');
		listener.onChanges([row({...READY, sequence: 6})], UNINTERRUPTED);
		clock.advance(EXPIRED_ENTRY_GRACE_MILLIS + 1);
		await nextTurn();
		assert.deepEqual(list().map(({id}) => id), ['s1'], 'the rewritten one stays, the other is dropped');
	});
}

void test('a draining backend server is dropped with its entry, also after a store outage', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row({...READY, state: 'draining'})], UNINTERRUPTED);
	listener.onSnapshot([], AFTER_OUTAGE);
	assert.deepEqual(list(), []);
});

void test('an entry that lapsed in an outage which only another feed of the process noticed has time to come back', async () => {
	const {listener, list, clock} = createList(() => 1000);
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	listener.onChanges([removal('s1')], UNINTERRUPTED);
	assert.deepEqual(list(), [READY]);
	clock.advance(EXPIRED_ENTRY_GRACE_MILLIS);
	await nextTurn();
	assert.deepEqual(list(), [], 'it is gone when it is not written again');
});

void test('a backend server that says itself that it is leaving stays draining until it has started again, whatever its entry says', () => {
	const {listener, list, noteLeaving} = createList();
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	noteLeaving({server: 's1', incarnation: READY.incarnation, attemptId: 'a1'});
	assert.equal(list()[0]?.state, 'draining', 'at once');
	listener.onChanges([row({...READY, sequence: 50})], UNINTERRUPTED);
	listener.onSnapshot([row({...READY, sequence: 51})], AFTER_OUTAGE);
	assert.equal(list()[0]?.state, 'draining', 'its entry contradicts');
	listener.onChanges([removal('s1')], UNINTERRUPTED);
	listener.onChanges([row({...READY, sequence: 52})], UNINTERRUPTED);
	assert.equal(list()[0]?.state, 'draining', 'its entry was removed and came back');
	listener.onChanges([row({...READY, incarnation: READY.incarnation + 1, sequence: 1})], UNINTERRUPTED);
	assert.equal(list()[0]?.state, 'ready', 'it has started again');
});

void test('a backend server that is gone stays gone when an older copy of the store shows its entry again, and is back with a newer entry', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	listener.onChanges([removal('s1')], UNINTERRUPTED);
	listener.onSnapshot([row(READY)], AFTER_OUTAGE);
	assert.deepEqual(list(), []);
	listener.onChanges([row({...READY, sequence: READY.sequence + 1})], UNINTERRUPTED);
	assert.equal(list().length, 1);
});

void test('a backend server whose entry is removed after the store was reached again is dropped within the drain bound', async () => {
	const {clock, listener, list} = createList();
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	listener.onChanges([], AFTER_OUTAGE);
	clock.advance(300);
	listener.onChanges([removal('s1')], UNINTERRUPTED);
	clock.advance(DRAIN_BOUND_MILLIS);
	await nextTurn();
	assert.deepEqual(list(), []);
});

for (const sinceContactMillis of [0, 300, 1200, 2400, 2600]) {
	void test(`a backend server whose entry is removed ${sinceContactMillis} ms after the store was reached again may get requests for less than the drain bound`, async () => {
		const {clock, listener, list} = createList();
		listener.onSnapshot([row(READY)], UNINTERRUPTED);
		listener.onChanges([], AFTER_OUTAGE);
		clock.advance(sinceContactMillis);
		listener.onChanges([removal('s1')], UNINTERRUPTED);
		clock.advance(DRAIN_BOUND_MILLIS * 0.9);
		await nextTurn();
		assert.deepEqual(list(), []);
	});
}

void test('a backend server that has crashed gets no requests once another one has started at its address', () => {
	const {listener, list} = createList();
	const successor = {
		...READY, id: 's2', incarnation: 200, sequence: 1,
	};
	listener.onSnapshot([row(READY), row({...READY, id: 's3', address: '10.0.0.3:1'})], UNINTERRUPTED);
	listener.onChanges([row(successor)], UNINTERRUPTED);
	assert.deepEqual(list().map(({id}) => id), ['s3', 's2']);
	listener.onSnapshot([row(READY), row(successor)], UNINTERRUPTED);
	assert.deepEqual(list(), [successor], 'its entry is still listed until enough heartbeats are missed');
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	assert.deepEqual(list(), [], 'it does not come back when its successor leaves');
});

void test('a page with the last beat and the removal of an entry takes its backend server off the list', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row(READY)], UNINTERRUPTED);
	const lastBeat = {...READY, sequence: 6};
	listener.onChanges([row(lastBeat), removal('s1')], UNINTERRUPTED);
	assert.equal(list().length, 0);
	listener.onChanges([row(lastBeat)], UNINTERRUPTED);
	assert.equal(list().length, 0, 'a store that is restored lists it again');
});

void test('a page with the entry, the removal and a newer entry of a backend server lists it with the newer one', () => {
	const {listener, list} = createList();
	const restarted = {...READY, incarnation: 200, sequence: 1};
	listener.onChanges([row(READY), removal('s1'), row(restarted)], UNINTERRUPTED);
	assert.deepEqual(list(), [restarted]);
	listener.onChanges([removal('s1'), row({...restarted, sequence: 2}), row({...restarted, sequence: 3}), removal('s1')], UNINTERRUPTED);
	assert.equal(list().length, 0);
});
