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

const PRESENT = {storeMillis: 0, isAfterOutage: false};
const REGAINED = {storeMillis: 0, isAfterOutage: true};

/** Backend servers by the text of their rows. */
const written = new Map<string, BackendServer>();

function row(server: BackendServer): FeedRow {
	const text = JSON.stringify(server);
	written.set(text, server);
	return {key: server.id, text, version: 1};
}

function removal(id: string): FeedRow {
	return {key: id, text: undefined, version: 2};
}

function createList() {
	const clock = createManualClock();
	clock.advance(60_000);
	const {servers, listener} = createBackendServerList({
		clock,
		log: silentLog,
		read: (_id, text) => written.get(text),
	});
	return {clock, listener, list: () => [...servers.read().values()]};
}

void test('an entry that cannot be read leaves the known one as it is', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row(READY)], PRESENT);
	listener.onChanges([{key: 's1', text: 'torn', version: 3}], PRESENT);
	assert.deepEqual(list(), [READY]);
});

void test('an old entry does not bring a leaving backend server back', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row({...READY, state: 'draining', sequence: 6})], PRESENT);
	listener.onChanges([row({...READY, sequence: 5})], PRESENT);
	assert.equal(list()[0]?.state, 'draining');
});

void test('a restart under the same id counts its entries anew', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row({...READY, state: 'draining', sequence: 60})], PRESENT);
	listener.onChanges([row({...READY, incarnation: 101, sequence: 1})], PRESENT);
	assert.equal(list()[0]?.state, 'ready');
	listener.onChanges([row({...READY, sequence: 61})], PRESENT);
	assert.equal(list()[0]?.incarnation, 101, 'an entry of the former incarnation is outdated');
});

void test('a removed entry takes its backend server out at once', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row(READY)], PRESENT);
	listener.onChanges([removal('s1')], PRESENT);
	assert.deepEqual(list(), []);
});

for (const how of ['snapshot', 'changes'] as const) {
	void test(`entries that lapsed during an outage have time to come back: ${how}`, async () => {
		const {clock, listener, list} = createList();
		const second = {...READY, id: 's2'};
		listener.onSnapshot([row(READY), row(second)], PRESENT);
		if (how === 'snapshot') {
			listener.onSnapshot([], REGAINED);
		} else {
			listener.onChanges([removal('s1'), removal('s2')], REGAINED);
		}

		assert.equal(list().length, 2, 'kept meanwhile');
		listener.onChanges([row({...READY, sequence: 6})], PRESENT);
		clock.advance(EXPIRED_ENTRY_GRACE_MILLIS + 1);
		await nextTurn();
		assert.deepEqual(list().map(({id}) => id), ['s1'], 'the one that came back stays, the other is gone');
	});
}

void test('a backend server that was leaving is gone with its entry, also after an outage', () => {
	const {listener, list} = createList();
	listener.onSnapshot([row({...READY, state: 'draining'})], PRESENT);
	listener.onSnapshot([], REGAINED);
	assert.deepEqual(list(), []);
});
