import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../random.js';
import {sum} from '../../sum.js';
import {weighEntries, type Capacity} from '../entry-weights.js';
import {computeInclusion, drawWeightedSample} from '../weighted-sample.js';

const DRAWS = 20_000;

type Entry = Readonly<{id: number; failureDomain: string}>;

function createEntries(count: number, domains: number): readonly Entry[] {
	return Array.from({length: count}, (_, id) => ({id, failureDomain: `domain-${id % domains}`}));
}

/** Draws answers to callers that each pick one address uniformly; returns the callers of each entry and checks each answer. */
function countCallers(entries: readonly Entry[], weights: readonly number[], maxCount: number): readonly number[] {
	const random = createSeededRandom(7);
	const callers = entries.map(() => 0);
	for (let i = 0; i < DRAWS; i++) {
		const answer = drawWeightedSample(entries, weights, {maxCount, random});
		assert.ok(answer.length <= maxCount && answer.length >= Math.min(3, entries.length), `${answer.length} addresses`);
		assert.equal(new Set(answer).size, answer.length, 'no address twice');
		assert.ok(new Set(answer.map(({failureDomain}) => failureDomain)).size >= Math.min(2, new Set(entries.map(({failureDomain}) => failureDomain)).size));
		for (const {id} of answer) {
			callers[id] = (callers[id] ?? 0) + (1 / answer.length);
		}
	}

	return callers;
}

const uneven = createSeededRandom(3);
const draw = (low: number, high: number) => low + ((high - low) * uneven());
const fleets = [
	{name: '29 entries of 0.648 to 1.35 cores and 28 to 140 Mbit/s', domains: 3, capacities: Array.from({length: 29}, () => ({cpuCores: draw(0.648, 1.35), linkMbps: draw(28, 140)}))},
	{name: '18 entries of 1.35 to 1.62 cores and 65.1 to 140 Mbit/s', domains: 3, capacities: Array.from({length: 18}, () => ({cpuCores: draw(1.35, 1.62), linkMbps: draw(65.1, 140)}))},
	{name: '100 entries, more than an answer lists', domains: 3, capacities: Array.from({length: 100}, (_, i) => ({cpuCores: i % 4 === 0 ? 1 : 2}))},
	{name: '8 entries in one failure domain', domains: 1, capacities: Array.from({length: 8}, (_, i) => ({linkMbps: i < 4 ? 100 : 50}))},
	{name: '10 entries, of which 3 are of an older version', domains: 2, capacities: Array.from({length: 10}, (_, i): Capacity => i < 3 ? {} : {cpuCores: 1 + (i % 3)})},
] as const;

for (const {name, domains, capacities} of fleets) {
	void test(`each entry's share of the callers is within a tenth of its share of the capacity: ${name}`, () => {
		const weights = weighEntries(capacities);
		assert.ok(weights);
		const callers = countCallers(createEntries(capacities.length, domains), weights, 64);
		for (const [i, weight] of weights.entries()) {
			const ratio = (callers[i] ?? 0) / DRAWS / (weight / sum(weights));
			assert.ok(Math.abs(ratio - 1) < 0.1, `entry ${i} gets ${ratio} of its share`);
		}
	});
}

/** Guards against answers with one address, or of one domain, when a single entry has nearly all of the capacity. */
void test('an answer keeps its minimum of addresses and domains beside an entry that is much larger, and lists the largest always', () => {
	const entries = createEntries(6, 2);
	assert.deepEqual(computeInclusion([100, 1, 1, 1, 1, 1], 64), [1, 0.4, 0.4, 0.4, 0.4, 0.4]);
	const weights = [100, 1, 100, 1, 100, 1];
	const callers = countCallers(entries, weights, 64);
	assert.ok(Math.abs(((callers[0] ?? 0) / (callers[1] ?? Infinity)) - 3) < 0.2, 'the second domain has one address of four, whatever its capacity');
	const random = createSeededRandom(1);
	for (let i = 0; i < 1000; i++) {
		const listed = new Set(drawWeightedSample(entries, weights, {maxCount: 64, random}).map(({id}) => id));
		assert.ok([0, 2, 4].every(id => listed.has(id)), 'the largest are listed');
	}

	countCallers(createEntries(2, 2), [5, 1], 64);
	countCallers(createEntries(3, 3), [5, 1, 1], 64);
	assert.ok(countCallers(createEntries(5, 2), [5, 1, 1, 1, 1], 3).every(count => count > 0));
});

void test('capacities count as equal up to a quarter, and the smaller ratio decides beyond it', () => {
	assert.equal(weighEntries([]), undefined);
	assert.equal(weighEntries([{}, {}]), undefined);
	assert.equal(weighEntries([{cpuCores: 1}, {}, {}]), undefined, 'one known capacity cannot be compared');
	assert.equal(weighEntries([{cpuCores: 1, linkMbps: 100}, {cpuCores: 1.25, linkMbps: 125}]), undefined);
	assert.deepEqual(weighEntries([{cpuCores: 1, linkMbps: 100}, {cpuCores: 1, linkMbps: 50}, {cpuCores: 2, linkMbps: 100}]), [1, 0.5, 1]);
	assert.deepEqual(weighEntries([{cpuCores: 1}, {cpuCores: 2}, {cpuCores: 4}, {}]), [0.5, 1, 2, 1]);
	assert.deepEqual(weighEntries([{cpuCores: 1}, {cpuCores: 2}, {cpuCores: Number.NaN}, {cpuCores: 0}]), [2 / 3, 4 / 3, 1, 1], 'a capacity that is no positive number is unknown');
});
