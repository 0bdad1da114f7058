import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createConcurrencyLimit, type ConcurrencyLimit} from '../concurrency-limit.js';

const load = {
	running: 100, queued: 0, backendServers: 10, ageMillis: 0,
};

function useUp(limit: ConcurrencyLimit): void {
	while (limit.hasFreePermit()) {
		limit.noteDispatched();
	}
}

test('the limit grows only when it was reached, and shrinks when the backend servers queue', () => {
	const limit = createConcurrencyLimit();
	limit.noteLoad(load, 0);
	const initial = limit.readLimit();
	limit.noteLoad(load, 1000);
	assert.equal(limit.readLimit(), initial);
	useUp(limit);
	limit.noteLoad(load, 2000);
	const grown = limit.readLimit();
	limit.noteLoad({...load, queued: 50}, 4000);
	assert.ok(grown > initial && limit.readLimit() < grown);
});

test('a report from before the last change is passed over', () => {
	const limit = createConcurrencyLimit();
	limit.noteLoad({...load, queued: 50}, 1000);
	const shrunk = limit.readLimit();
	limit.noteLoad({...load, queued: 50, ageMillis: 3000}, 3000);
	assert.equal(limit.readLimit(), shrunk);
	limit.noteLoad({...load, queued: 50, ageMillis: 500}, 3000);
	assert.ok(limit.readLimit() < shrunk);
});

test('two entries with unequal limits come nearer to each other', () => {
	const [low, high] = [createConcurrencyLimit(), createConcurrencyLimit()];
	low.noteLoad({...load, backendServers: 2}, 0);
	high.noteLoad({...load, backendServers: 20}, 0);
	const ratio = () => high.readLimit() / low.readLimit();
	const before = ratio();
	for (let i = 1; i < 200; i++) {
		useUp(low);
		useUp(high);
		const queued = i % 3 === 0 ? 40 : 0;
		low.noteLoad({...load, queued}, i * 1000);
		high.noteLoad({...load, queued}, i * 1000);
	}

	assert.ok(ratio() < before / 3);
});
