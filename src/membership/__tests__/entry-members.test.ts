import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../core/manual-clock.js';
import {fail, succeed} from '../../core/result.js';
import {silentLog} from '../../observability/log.js';
import type {FeedRow} from '../../ports/table-feed.js';
import type {TableStore, Transaction} from '../../ports/table-store.js';
import {HEARTBEAT_INTERVAL_SHARE, MEMBER_LIST_MIN_INTERVAL_SHARE, MEMBER_TIMEOUT_SHARE} from '../../gateway/gateway-constants.js';
import {createEntryMembers} from '../entry-members.js';

const TIMEOUT_MILLIS = 5000;
const HEARTBEAT_MILLIS = 2000;
const SHARING_MILLIS = 9000;

function row(id: string, beatAtMillis: number, state = 'ready'): FeedRow {
	return {
		key: id,
		version: 1,
		text: JSON.stringify({
			incarnation: 'x', callerAddress: `${id}:80`, failureDomain: 'a', state, beatAtMillis,
		}),
	};
}

function createSystem({isReady = true, isStoreDown = false} = {}) {
	const clock = createManualClock();
	const written: Transaction[] = [];
	const table: TableStore = {
		read: async () => succeed(undefined),
		list: async () => succeed([]),
		async transact(tx) {
			written.push(tx);
			return isStoreDown ? fail({tag: 'unavailable', detail: 'status 503'}) : succeed([]);
		},
	};
	const members = createEntryMembers({
		clock,
		log: silentLog,
		table,
		self: {
			id: 'self', incarnation: 'i', callerAddress: 'self:80', failureDomain: 'a',
		},
		isReady: () => isReady,
		heartbeatMillis: HEARTBEAT_MILLIS,
		timeoutMillis: TIMEOUT_MILLIS,
		sharingTimeoutMillis: SHARING_MILLIS,
	});
	const list = () => members.listReady().map(({id}) => id);
	return {
		clock, members, written, list,
	};
}

const CONTACT = {storeMillis: 100_000, isAfterOutage: false};

void test('an entry knows itself, and others by their heartbeats', () => {
	const {members, list} = createSystem();
	assert.deepEqual(list(), ['self']);
	members.listener.onSnapshot([row('a', 99_000), row('b', 99_000, 'leaving'), row('c', 99_000, 'starting'), {key: 'torn', text: '{', version: 1}], CONTACT);
	assert.deepEqual(list(), ['self', 'a']);
});

void test('an entry that is not ready is no address', () => {
	const {members, list} = createSystem({isReady: false});
	members.listener.onSnapshot([row('a', 99_000)], CONTACT);
	assert.deepEqual(list(), ['a']);
});

void test('heartbeats of before a restart of everything are too old', () => {
	const {members, list} = createSystem();
	members.listener.onSnapshot([row('a', 100_000 - TIMEOUT_MILLIS)], CONTACT);
	assert.deepEqual(list(), ['self']);
});

void test('behind a restart of all, shares count the entries of before until they are back or long gone', () => {
	const {members, list} = createSystem();
	assert.equal(members.countSharingEntries(), 1);
	const before = [row('a', 100_000 - TIMEOUT_MILLIS), row('b', 100_000 - TIMEOUT_MILLIS, 'starting'), row('c', 99_000, 'leaving'), row('d', 100_000 - SHARING_MILLIS)];
	members.listener.onSnapshot(before, CONTACT);
	assert.deepEqual(list(), ['self'], 'none of them is an address');
	assert.equal(members.countSharingEntries(), 3);
});

void test('an entry that falls silent is dropped once the store shows later time', () => {
	const {members, list, clock} = createSystem();
	members.listener.onSnapshot([row('a', 99_000)], CONTACT);
	clock.advance(TIMEOUT_MILLIS * 2);
	assert.deepEqual(list(), ['self', 'a'], 'without the store nobody knows of later heartbeats');
	members.listener.onChanges([], {storeMillis: 100_000 + TIMEOUT_MILLIS, isAfterOutage: false});
	assert.deepEqual(list(), ['self']);
});

void test('a removed row takes its entry out', () => {
	const {members, list} = createSystem();
	members.listener.onSnapshot([row('a', 99_000)], CONTACT);
	members.listener.onChanges([{key: 'a', text: undefined, version: 2}], CONTACT);
	assert.deepEqual(list(), ['self']);
});

void test('heartbeats carry the steady time of the store and stop with the entry', async () => {
	const {members, written, clock} = createSystem();
	members.listener.onSnapshot([], CONTACT);
	const stop = new AbortController();
	void members.runHeartbeat(stop.signal);
	for (let i = 0; i < 50; i++) {
		// eslint-disable-next-line no-await-in-loop -- Time goes on in small steps.
		await nextTurn();
		clock.advance(100);
	}

	const beats = written.map(({writes}) => Number(Reflect.get(new Object(writes[0]?.value), 'beatAtMillis')));
	assert.equal(beats.length, 3);
	assert.ok((beats[1] ?? 0) - (beats[0] ?? 0) >= HEARTBEAT_MILLIS);
	await members.announceDraining();
	assert.equal(Reflect.get(new Object(written.at(-1)?.writes[0]?.value), 'state'), 'leaving');
	stop.abort();
});

void test('a heartbeat that the store refuses is given again', async () => {
	const {members, written, clock} = createSystem({isStoreDown: true});
	members.listener.onSnapshot([], CONTACT);
	const stop = new AbortController();
	void members.runHeartbeat(stop.signal);
	for (let i = 0; i < 45; i++) {
		// eslint-disable-next-line no-await-in-loop -- Time goes on in small steps.
		await nextTurn();
		clock.advance(100);
	}

	assert.ok(written.length >= 2);
	stop.abort();
});

void test('a gateway that dies is out of the addresses within the bound of its settings, and one slow heartbeat takes none out', () => {
	assert.ok(MEMBER_TIMEOUT_SHARE + MEMBER_LIST_MIN_INTERVAL_SHARE < 1);
	assert.ok(MEMBER_TIMEOUT_SHARE > 2 * HEARTBEAT_INTERVAL_SHARE);
});
