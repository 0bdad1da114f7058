import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {silentLog} from '../../observability/log.js';
import type {FeedRow} from '../../ports/table-feed.js';
import {createEvacuations} from '../evacuations.js';
import {RETURN_WARM_UP_MILLIS} from '../gateway-constants.js';

const contact = {storeMillis: 0, isAfterOutage: false};

function createRow(key: string, text: string | undefined = '{}'): FeedRow {
	return {key, text, version: 1};
}

const remove = (key: string): FeedRow => ({key, text: undefined, version: 2});

function createList() {
	const changes: Array<readonly string[]> = [];
	const clock = createManualClock();
	const evacuations = createEvacuations({
		clock,
		log: silentLog,
		read: key => key.startsWith('out/') ? key.slice('out/'.length) : undefined,
		onChange(evacuated) {
			changes.push(evacuated);
		},
	});
	return {clock, changes, ...evacuations};
}

void test('an evacuation is known from a snapshot or a change, whatever the value of its row, and ends with the row', () => {
	const {listener, isEvacuated, list, changes} = createList();
	listener.onSnapshot([createRow('cfg'), createRow('out/a', 'no JSON')], contact);
	assert.deepEqual(list(), ['a']);
	listener.onChanges([createRow('out/b'), createRow('out/c')], contact);
	assert.deepEqual(list(), ['a', 'b', 'c']);
	listener.onChanges([createRow('cfg'), remove('out/b'), remove('cfg')], contact);
	assert.deepEqual(list(), ['a', 'c']);
	assert.equal(isEvacuated('b'), false);
	assert.deepEqual(changes, [['a'], ['b', 'c'], []]);
});

void test('rows that change nothing, and rows that are written again, are no news', () => {
	const {listener, changes} = createList();
	listener.onChanges([createRow('out/a')], contact);
	listener.onChanges([createRow('out/a')], contact);
	listener.onChanges([], contact);
	listener.onSnapshot([createRow('out/a')], contact);
	assert.deepEqual(changes, [['a']]);
});

void test('a snapshot after a gap, or of a store restored from an older copy, replaces what is known', () => {
	const {listener, list} = createList();
	listener.onChanges([createRow('out/a'), createRow('out/b')], contact);
	listener.onSnapshot([createRow('out/b'), createRow('out/c')], {...contact, isAfterOutage: true});
	assert.deepEqual(list(), ['b', 'c']);
	listener.onSnapshot([], {...contact, isAfterOutage: true});
	assert.deepEqual(list(), []);
});

void test('a failure domain that is back counts as just started for a while, and no longer once it is evacuated again', () => {
	const {listener, readReturnLeftMillis, clock} = createList();
	assert.equal(readReturnLeftMillis('a'), 0);
	listener.onChanges([createRow('out/a')], contact);
	assert.equal(readReturnLeftMillis('a'), 0);
	listener.onChanges([remove('out/a')], contact);
	clock.advance(RETURN_WARM_UP_MILLIS - 1);
	assert.equal(readReturnLeftMillis('a'), 1);
	listener.onChanges([createRow('out/a')], contact);
	assert.equal(readReturnLeftMillis('a'), 0);
});
