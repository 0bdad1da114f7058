import assert from 'node:assert/strict';
import {test} from 'node:test';
import {succeed} from '../../core/result.js';
import type {RankEngine, RankState} from '../../ports/rank-engine.js';
import type {ExpertLayout} from '../../routing/routing-configuration.js';
import {MAX_COUNTS_PER_SECOND, MAX_OBSERVE_INTERVAL_MILLIS} from '../../map-switch/map-switch-constants.js';
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

void test('in a large group the counts of an evenly spread sample of ranks are read, always of the same, within the rate limit', async () => {
	const readings: number[] = [];
	const ranks = Array.from({length: RANKS}, (_, rank) => createRank(rank, readings));
	const observer = createGroupObserver();
	await observer.observe(ranks, LARGE);
	const first = [...readings];
	const state = await observer.observe(ranks, LARGE);
	assert.ok('epoch' in state && state.ranks.length === RANKS, 'the states of all ranks are read');
	assert.deepEqual(readings.slice(first.length), first);
	assert.equal(first.length, countSampledRanks(RANKS, LARGE));
	assert.ok(first.length * LARGE.layers * LARGE.experts <= MAX_COUNTS_PER_SECOND * MAX_OBSERVE_INTERVAL_MILLIS / 1000);
	const gaps = first.slice(1).map((rank, i) => rank - (first[i] ?? 0));
	assert.ok(Math.max(...gaps) - Math.min(...gaps) <= 1, 'the sample is spread evenly');
	assert.equal(observer.read()?.scenarios.countSamples(), first.length, 'each sampled rank gives one scenario');
});

void test('in a small group the counts of all ranks are read', () => {
	assert.equal(countSampledRanks(12, {...LARGE, layers: 3, experts: 96}), 12);
});
