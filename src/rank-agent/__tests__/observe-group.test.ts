import assert from 'node:assert/strict';
import {test} from 'node:test';
import {succeed} from '../../core/result.js';
import type {RankEngine, RankState} from '../../ports/rank-engine.js';
import type {ExpertLayout} from '../../routing/routing-configuration.js';
import {MAX_COUNTS_PER_SECOND, SAMPLE_INTERVAL_MILLIS} from '../../map-switch/map-switch-constants.js';
import {countSampledRanks, createGroupObserver} from '../observe-group.js';

const LARGE: ExpertLayout = {
	layers: 12, experts: 256, slotsPerRank: 5, maxLoadsPerRank: 1, copyMillis: 80,
};
const RANKS = 64;

function createRank(rank: number, readings: number[]): RankEngine {
	const state: RankState = {
		group: {
			name: 'g', rank, size: RANKS, epoch: 1, isOpen: true,
		},
		step: 1,
		mapVersion: 0,
		preparedVersion: undefined,
		armed: undefined,
		heldStep: undefined,
		slowFactor: 1,
		hasWork: true,
	};
	return {
		readState: async () => succeed(state),
		async readLoad() {
			readings.push(rank);
			const turn = readings.filter(other => other === rank).length;
			return succeed({state, counts: Array.from({length: LARGE.layers * LARGE.experts}, (_, i) => turn * (i % 7))});
		},
		readExperts: async () => succeed([]),
		order: async () => ({tag: 'refused', detail: ''}),
	};
}

void test('in a large group a few evenly spread ranks are sampled often, always the same, within the rate limit, and states are read without counts', async () => {
	const readings: number[] = [];
	const ranks = Array.from({length: RANKS}, (_, rank) => createRank(rank, readings));
	const observer = createGroupObserver();
	const state = await observer.observe(ranks, LARGE);
	assert.ok('epoch' in state && state.ranks.length === RANKS, 'the states of all ranks are read');
	assert.deepEqual(readings, [], 'counts of all ranks would take seconds');
	await observer.sample(ranks, LARGE);
	const first = [...readings];
	await observer.sample(ranks, LARGE);
	assert.deepEqual(readings.slice(first.length), first);
	assert.equal(first.length, countSampledRanks(RANKS, LARGE));
	assert.ok(first.length * LARGE.layers * LARGE.experts <= MAX_COUNTS_PER_SECOND * SAMPLE_INTERVAL_MILLIS / 1000);
	const gaps = first.slice(1).map((rank, i) => rank - (first[i] ?? 0));
	assert.ok(Math.max(...gaps) - Math.min(...gaps) <= 1, 'the sample is spread evenly');
	assert.ok((observer.read()?.scenarios.countSamples() ?? 0) > 0, 'the second sample shows a load');
});

void test('a change of the popularity discards the load seen before it, and the sample that covers both', async () => {
	let shift = 0;
	let turn = 0;
	const counts = Array.from({length: LARGE.layers * LARGE.experts}, () => 0);
	const ranks = Array.from({length: RANKS}, (_, rank): RankEngine => ({
		...createRank(rank, []),
		async readLoad() {
			const state = await createRank(rank, []).readState();
			return state.ok ? succeed({state: state.value, counts: [...counts]}) : state;
		},
	}));
	const observer = createGroupObserver();
	await observer.observe(ranks, LARGE);
	async function sampleNext(): Promise<boolean> {
		turn++;
		for (const i of counts.keys()) {
			counts[i] = (counts[i] ?? 0) + (((i + shift) % 16) === 0 ? 100 : 1);
		}

		return observer.sample(ranks, LARGE);
	}

	const before = [await sampleNext(), await sampleNext(), await sampleNext(), await sampleNext()];
	assert.deepEqual(before, [false, false, false, false]);
	shift = 5;
	assert.equal(await sampleNext(), true);
	assert.equal(observer.read()?.scenarios.countSamples(), 0);
	assert.equal(await sampleNext(), false);
	const [scenario] = observer.read()?.scenarios.read(0) ?? [];
	assert.ok(scenario, `a load is known after ${turn} samples`);
	assert.equal(scenario.loads.indexOf(Math.max(...scenario.loads)), 16 - shift);
});

void test('in a small group the counts of all ranks are read', () => {
	assert.equal(countSampledRanks(12, {...LARGE, layers: 3, experts: 96}), 12);
});
