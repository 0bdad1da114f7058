import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FaultChange} from '../../faults/fault-switches.js';
import {createWeightStore} from '../../weight-store.js';
import {createExpertLoader, createWeightStoreFetch} from '../expert-loader.js';
import {createInitialMap} from '../expert-shape.js';

const shape = {
	ranks: 2, layers: 2, experts: 4, slotsPerRank: 3,
};
const initial = createInitialMap(shape);
/** Rank 0 gets expert 1 in each layer; rank 1 keeps its copies. */
const next = {layers: initial.layers.map(({slotsPerRank, slots}) => ({slotsPerRank, slots: slots.with(2, 1)}))};

test('expert loader: only missing copies are fetched, and concurrent loads of an epoch share one run', async () => {
	const fetched: string[] = [];
	const fetchExpert = async (layer: number, expert: number) => {
		fetched.push(`${layer}/${expert}`);
		return 0;
	};

	const first = createExpertLoader(0, initial, fetchExpert);
	await Promise.all([first.load(5, next), first.load(5, next)]);
	await first.load(6, next);
	await createExpertLoader(1, initial, fetchExpert).load(5, next);
	assert.deepEqual(fetched, ['0/1', '1/1']);
});

const refusals: ReadonlyArray<Readonly<{name: string; faults: FaultChange}>> = [
	{name: 'over its rate limit', faults: {}},
	{name: 'in an outage', faults: {outage: true}},
	{name: 'that does not respond', faults: {silent: true}},
];
for (const {name, faults} of refusals) {
	test(`expert loader: a weight store ${name} gives a delay before the next attempt`, async () => {
		const store = await createWeightStore({listen: '127.0.0.1:0', ratePerSecond: 0.001});
		const fetchExpert = createWeightStoreFetch(store.url);
		assert.equal(await fetchExpert(0, 1), 0);
		store.faults.set(faults);
		assert.ok(await fetchExpert(0, 1) > 0);
		await store.close();
	});
}

test('expert loader: a load retries refused copies until all are fetched', async () => {
	const waits = [1, 1, 0, 1, 0];
	const loader = createExpertLoader(0, initial, async () => waits.shift() ?? 0);
	await loader.load(5, next);
	assert.deepEqual([loader.fetchedCount(), waits], [2, []]);
});

test('expert loader: a copy evicted by a map is fetched again, one loaded for a later epoch is kept', async () => {
	const loader = createExpertLoader(0, initial, async () => 0);
	await loader.load(5, next);
	loader.evictUnneeded(4, initial);
	await loader.load(5, next);
	assert.equal(loader.fetchedCount(), 2);
	loader.releaseReserved(5);
	loader.evictUnneeded(4, initial);
	await loader.load(6, next);
	assert.equal(loader.fetchedCount(), 4);
});
