import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silentLog, type Log, type LogContext} from '../../observability/log.js';
import {findLineFault} from '../../observability/line-schemas.js';
import {chooseDetectorTiming} from '../entry-members.js';
import {createWorld, DEAD_MILLIS, SHARING_MILLIS} from './entry-world.js';

void test('an entry lists itself and the others while they are ready', async () => {
	const world = createWorld();
	const [one, two, three] = ['e1', 'e2', 'e3'].map(id => world.start(id));
	one?.setReady(true);
	two?.setReady(true);
	await world.run(2000);
	assert.deepEqual(one?.list(), ['e1', 'e2']);
	assert.deepEqual(three?.list(), ['e1', 'e2'], 'one that is not ready lists the others');
	assert.equal(three?.countSharingEntries(), 3, 'entries share the backend servers before they are ready');
	three?.setReady(true);
	await world.run(400);
	assert.deepEqual(one?.list(), ['e1', 'e2', 'e3']);
	two?.setReady(false);
	await world.run(400);
	assert.deepEqual(three?.list(), ['e1', 'e3']);
	assert.ok((one?.countChanges() ?? 0) >= 3);
});

void test('a dead entry leaves the list within the bound without the store, and keeps its share for a while', async () => {
	const world = createWorld();
	const entries = ['e1', 'e2', 'e3', 'e4'].map(id => world.start(id));
	for (const entry of entries) {
		entry.setReady(true);
	}

	await world.run(2000);
	world.setStoreDown(true);
	entries[3]?.kill();
	await world.run(DEAD_MILLIS);
	assert.deepEqual(entries[0]?.list(), ['e1', 'e2', 'e3']);
	assert.equal(entries[0]?.countSharingEntries(), 4);
	const changes = entries[0]?.countChanges() ?? 0;
	await world.run(SHARING_MILLIS);
	assert.equal(entries[0]?.countSharingEntries(), 3);
	assert.equal(entries[0]?.countChanges(), changes + 1, 'the limits are divided anew');
	assert.equal(entries[0]?.listBeliefs().find(({id}) => id === 'e4')?.state, 'dead');
});

void test('after a restart of all entries, rows of those that do not return keep their share for a while only', async () => {
	const world = createWorld();
	for (const id of ['e1', 'e2', 'e3']) {
		const text = JSON.stringify({
			incarnation: 'old', callerAddress: `${id}:80`, gossipAddress: `${id}:8`, statusAddress: '', failureDomain: 'a',
		});
		world.rows.set(id, {key: id, version: 1, text});
	}

	const one = world.start('e1');
	one.setReady(true);
	await world.run(1000);
	assert.deepEqual(one.list(), ['e1'], 'a row alone does not make a member');
	assert.equal(one.countSharingEntries(), 3);
	await world.run(SHARING_MILLIS);
	assert.equal(one.countSharingEntries(), 1);
});

void test('rows that cannot be read, as those of an earlier version, are skipped', async () => {
	const world = createWorld();
	world.rows.set('torn', {key: 'torn', version: 1, text: '{'});
	world.rows.set('old', {key: 'old', version: 1, text: '{"callerAddress":"a:1","beatAtMillis":1}'});
	const lines: Array<readonly [string, LogContext | undefined]> = [];
	const log: Log = {
		...silentLog,
		info(message, ctx) {
			lines.push([message, ctx]);
		},
		warn(message, ctx) {
			lines.push([message, ctx]);
		},
	};
	const one = world.start('e1', log);
	one.setReady(true);
	const two = world.start('e2');
	two.setReady(true);
	await world.run(1000);
	assert.deepEqual(one.list(), ['e1', 'e2']);
	assert.deepEqual(lines.filter(([message]) => message === 'unreadable entry row').map(([, ctx]) => ctx?.key), ['torn', 'old']);
	for (const [message, ctx = {}] of lines) {
		assert.equal(findLineFault(message, ctx), undefined);
	}
});

void test('a draining entry leaves the lists at once, and its row is removed unless a later start has replaced it', async () => {
	const world = createWorld();
	const [one, two] = ['e1', 'e2'].map(id => world.start(id));
	one?.setReady(true);
	two?.setReady(true);
	await world.run(1500);
	await two?.announceDraining();
	assert.deepEqual(two?.list(), ['e1']);
	await world.run(200);
	assert.deepEqual(one?.list(), ['e1']);
	assert.equal(one?.countSharingEntries(), 1);
	assert.equal(world.rows.has('e2'), false);
	world.rows.set('e1', {key: 'e1', version: 99, text: '{}'});
	await one?.announceDraining();
	assert.equal(world.rows.has('e1'), true);
});

void test('an entry registers as soon as the store answers', async () => {
	const world = createWorld();
	world.setStoreDown(true);
	const one = world.start('e1');
	const two = world.start('e2');
	one.setReady(true);
	two.setReady(true);
	await world.run(5000);
	assert.deepEqual(one.list(), ['e1']);
	world.setStoreDown(false);
	await world.run(3000);
	assert.deepEqual(one.list(), ['e1', 'e2']);
});

void test('a dead entry is concluded to be dead within the bound of the settings, with time left to find a neighbour dead first', () => {
	const bound = 4000;
	const {probeIntervalMillis, ackTimeoutMillis, suspicionMillis} = chooseDetectorTiming(bound);
	const longestInterval = probeIntervalMillis * 1.1;
	const probe = 3 * ackTimeoutMillis;
	assert.ok(longestInterval + ackTimeoutMillis + probe + suspicionMillis < bound);
});
