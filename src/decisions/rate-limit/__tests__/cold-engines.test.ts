import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {
	chooseColdRate, createColdEngines, type ColdBounds, type ListedEngine,
} from '../cold-engines.js';

const COLD_MILLIS = 3000;
const NOW_MILLIS = 1_000_000;
const BOUNDS = {overage: 1.5, slack: 5};
const DEFAULT_OPTIONS = {bounds: BOUNDS, requestsPerSecond: 17};

function createEngines({bounds, requestsPerSecond}: Readonly<{bounds: ColdBounds | undefined; requestsPerSecond: number}> = DEFAULT_OPTIONS) {
	const clock = createManualClock(new Date(NOW_MILLIS));
	const engines = createColdEngines({clock, bounds, readRule: service => service === 'svc' ? {coldMillis: COLD_MILLIS, requestsPerSecond} : undefined});
	const listEngine = (engine: Partial<ListedEngine>) => {
		engines.update(new Map([['e', {
			service: 'svc', incarnation: 1, sequence: 1, coldLeftMillis: 0, ...engine,
		}]]));
	};

	return {...engines, clock, listEngine};
}

void test('an engine seen for the first time is cold for the whole time if it started recently or says that it is cold, and warm otherwise', () => {
	for (const {engine, leftMillis} of [
		{engine: {}, leftMillis: 0},
		{engine: {incarnation: NOW_MILLIS - COLD_MILLIS + 1}, leftMillis: COLD_MILLIS},
		{engine: {coldLeftMillis: 1}, leftMillis: COLD_MILLIS},
		{engine: {coldLeftMillis: COLD_MILLIS + 1}, leftMillis: COLD_MILLIS + 1},
		{engine: {service: 'other', coldLeftMillis: 1000}, leftMillis: 0},
	]) {
		const {listEngine, readLeftMillis} = createEngines();
		listEngine(engine);
		assert.equal(readLeftMillis('e'), leftMillis, JSON.stringify(engine));
	}
});

void test('a later entry tells whether the engine is cold, and an entry that is read again does not renew its time', () => {
	const {clock, listEngine, readLeftMillis} = createEngines();
	listEngine({});
	listEngine({sequence: 2, coldLeftMillis: 1000});
	assert.equal(readLeftMillis('e'), 1000, 'a warm engine has become cold again');
	clock.advance(400);
	listEngine({sequence: 2, coldLeftMillis: 1000});
	assert.equal(readLeftMillis('e'), 600);
	listEngine({sequence: 3, coldLeftMillis: 0});
	assert.equal(readLeftMillis('e'), 0);
	listEngine({incarnation: NOW_MILLIS});
	assert.equal(readLeftMillis('e'), COLD_MILLIS, 'it has started anew');
});

void test('an engine that accepted no connection counts as cold, since it may start anew while the store is out of reach', () => {
	const {clock, listEngine, noteUnreachable, readLeftMillis} = createEngines();
	listEngine({});
	noteUnreachable('e');
	clock.advance(1000);
	assert.equal(readLeftMillis('e'), COLD_MILLIS - 1000);
	clock.advance(2000);
	assert.equal(readLeftMillis('e'), 0);
});

void test('without bounds, or a rate above 0, no engine is limited', () => {
	for (const options of [{bounds: undefined, requestsPerSecond: 17}, {bounds: BOUNDS, requestsPerSecond: 0}]) {
		const {listEngine, readRate, list} = createEngines(options);
		listEngine({coldLeftMillis: 1000});
		assert.equal(readRate('e'), undefined);
		assert.deepEqual(list(), []);
	}
});

void test('the rate and its burst leave half of the bound to entries that are out of reach, at any rate', () => {
	for (const requestsPerSecond of [1, 2, 5, 17, 100]) {
		const {requestsPerMilli, burst} = chooseColdRate(requestsPerSecond, BOUNDS);
		assert.ok(2 * (burst + (requestsPerMilli * 1000)) <= (requestsPerSecond * 1.5) + 5);
		assert.ok(requestsPerMilli * 1000 >= 0.3 * requestsPerSecond, 'the engine is used');
	}
});
