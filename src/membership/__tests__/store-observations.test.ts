import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../core/manual-clock.js';
import {createFeedInterrupt} from '../../feeds/feed-interrupt.js';
import {silentLog} from '../../observability/log.js';
import {createStoreObservations} from '../store-observations.js';

function createObservations() {
	const clock = createManualClock();
	const interrupt = createFeedInterrupt();
	const interrupted: string[] = [];
	for (const table of ['op', 'servers']) {
		interrupt.register(table, () => {
			interrupted.push(table);
		});
	}

	const store = createStoreObservations({
		clock, log: silentLog, random: () => 0.5, interrupt, onSilence: () => undefined,
	});
	return {
		...store, interrupted,
		async pass(millis: number) {
			clock.advance(millis);
			await nextTurn();
		},
		mergeAt(view: Parameters<typeof store.merge>[0]) {
			store.merge(view, clock.monotonicMillis());
		},
	};
}

void test('a feed that lacks a change which another entry has seen calls again', async () => {
	const store = createObservations();
	store.onAnswer('op', {position: 10, newestChange: 4});
	store.onAnswer('servers', {position: 10, newestChange: 9});
	store.mergeAt({tables: [{table: 'op', version: 12}, {table: 'servers', version: 9}]});
	await store.pass(200);
	assert.deepEqual(store.interrupted, [], 'the change may still arrive');
	await store.pass(200);
	assert.deepEqual(store.interrupted, ['op']);
});

void test('a feed that catches up in time is left alone', async () => {
	const store = createObservations();
	store.onAnswer('op', {position: 10, newestChange: 4});
	store.mergeAt({tables: [{table: 'op', version: 12}]});
	store.onAnswer('op', {position: 12, newestChange: 12});
	await store.pass(500);
	assert.deepEqual(store.interrupted, []);
});

void test('the contact of another entry counts as this one\'s only if it has seen no change that this one lacks', async () => {
	const store = createObservations();
	store.onAnswer('op', {position: 10, newestChange: 4});
	await store.pass(5000);
	store.mergeAt({tables: [{table: 'op', version: 12}], contactAgeMillis: 100});
	assert.equal(store.readContactAgeMillis(), 5000);
	store.onAnswer('op', {position: 12, newestChange: 12});
	await store.pass(3000);
	store.mergeAt({tables: [{table: 'op', version: 12}], contactAgeMillis: 100});
	assert.equal(store.readContactAgeMillis(), 100);
});

void test('an entry that is cut off from the store alone does not make the others believe in an outage, nor call more often', async () => {
	const store = createObservations();
	store.onAnswer('op', {position: 10, newestChange: 4});
	for (let i = 0; i < 12; i++) {
		// eslint-disable-next-line no-await-in-loop -- Time advances in steps.
		await store.pass(1000);
		store.mergeAt({tables: [], failureAgeMillis: 100});
		store.mergeAt({tables: [], contactAgeMillis: 300});
	}

	assert.equal(store.readFailureAgeMillis(), Infinity);
	assert.deepEqual(store.interrupted, []);
});

void test('when no entry has reached the store for a while and calls fail, this one calls too, and only its own failure counts', async () => {
	const store = createObservations();
	store.onAnswer('op', {position: 10, newestChange: 4});
	await store.pass(1500);
	store.mergeAt({tables: [], failureAgeMillis: 400});
	await store.pass(600);
	store.mergeAt({tables: [], failureAgeMillis: 100});
	await store.pass(1000);
	assert.deepEqual(store.interrupted, ['op', 'servers']);
	assert.equal(store.readFailureAgeMillis(), Infinity);
	store.onFailure('op');
	assert.equal(store.readFailureAgeMillis(), 0);
	store.mergeAt({tables: [], failureAgeMillis: 100});
	await store.pass(100);
	assert.equal(store.interrupted.length, 2, 'the answer is awaited');
});

void test('a contact of another entry that becomes known before this one calls saves the call', async () => {
	const store = createObservations();
	store.onAnswer('op', {position: 10, newestChange: 4});
	await store.pass(2500);
	store.mergeAt({tables: [], failureAgeMillis: 100});
	store.mergeAt({tables: [], contactAgeMillis: 50});
	await store.pass(1000);
	assert.deepEqual(store.interrupted, []);
});

void test('a failed call is told on with its age', async () => {
	const store = createObservations();
	store.onFailure('op');
	await store.pass(300);
	assert.equal(store.describe(300).failureAgeMillis, 300);
});

void test('without contact, nothing is claimed of the store', () => {
	const store = createObservations();
	assert.deepEqual(store.describe(0), {
		tables: [], contactAgeMillis: undefined, failureAgeMillis: undefined, silenceAgeMillis: undefined,
	});
	assert.equal(store.readContactAgeMillis(), Infinity);
});

void test('when another entry finds its connection dead, the tables of which this one has heard nothing since are called again', async () => {
	const store = createObservations();
	store.onAnswer('op', {position: 10, newestChange: 4});
	await store.pass(1000);
	store.onAnswer('servers', {position: 10, newestChange: 9});
	store.mergeAt({tables: [], silenceAgeMillis: 100});
	await store.pass(150);
	assert.deepEqual(store.interrupted, ['op']);
	store.mergeAt({tables: [], silenceAgeMillis: 260});
	await store.pass(300);
	assert.deepEqual(store.interrupted, ['op'], 'the same finding, told again');
});

void test('an entry that finds its connection dead says so to the others, for a while', async () => {
	const store = createObservations();
	store.onSilence('op');
	await store.pass(700);
	assert.equal(store.describe(700).silenceAgeMillis, 700);
	await store.pass(60_000);
	assert.equal(store.describe(60_700).silenceAgeMillis, undefined);
});
