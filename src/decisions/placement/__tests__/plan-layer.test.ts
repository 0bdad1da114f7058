import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {EMPTY_SLOT} from '../initial-map.js';
import {measureRankTimes, measureSkew} from '../layer-skew.js';
import {countWeightLoads, planLayer} from '../plan-layer.js';

const TERMS = {skewCostPerWeightLoad: 0.001, minSkewReduction: 0.01, maxWeightLoads: 100};

type Case = Readonly<{
	name: string;
	slotsPerRank: number;
	slots: readonly number[];
	loads: readonly number[];
	slowFactors: readonly number[];
	maxLoads?: number;
	/** Largest skew that the plan may leave; undefined when no plan must be made. */
	skewAfter: number | undefined;
}>;

const cases: readonly Case[] = [
	{
		name: 'two hot experts on one rank are parted', slotsPerRank: 2, slots: [0, 1, 2, 3], loads: [10, 10, 1, 1], slowFactors: [1, 1], skewAfter: 1,
	},
	{
		name: 'one hot expert gets a copy in a free slot', slotsPerRank: 2, slots: [0, -1, 1, -1], loads: [10, 2], slowFactors: [1, 1], skewAfter: 1.2,
	},
	{
		name: 'a redundant copy of a cold expert gives way', slotsPerRank: 2, slots: [0, 1, 1, 2], loads: [12, 1, 1], slowFactors: [1, 1], skewAfter: 1.1,
	},
	{
		name: 'a copy that only burdens the hottest rank is dropped', slotsPerRank: 2, slots: [0, 1, 1, 2], loads: [8, 4, 2], slowFactors: [1, 1], maxLoads: 0, skewAfter: 1.15,
	},
	{
		name: 'a slow rank gets less', slotsPerRank: 2, slots: [0, 1, 2, 3], loads: [3, 3, 3, 0.1], slowFactors: [2, 1], skewAfter: 1.02,
	},
	{
		name: 'experts without load are left alone', slotsPerRank: 2, slots: [0, 1, 2, 3], loads: [0, 0, 0, 0], slowFactors: [1, 1], skewAfter: undefined,
	},
	{
		name: 'an even layer is left alone', slotsPerRank: 2, slots: [0, 1, 2, 3], loads: [5, 5, 5, 5], slowFactors: [1, 1], skewAfter: undefined,
	},
	{
		name: 'without loads a swap is out of reach', slotsPerRank: 2, slots: [0, 1, 2, 3], loads: [10, 10, 1, 1], slowFactors: [1, 1], maxLoads: 1, skewAfter: undefined,
	},
	{
		name: 'one rank alone has nothing to move', slotsPerRank: 2, slots: [0, 1], loads: [10, 1], slowFactors: [1], skewAfter: undefined,
	},
];

for (const {name, slotsPerRank, slots, loads, slowFactors, maxLoads = 100, skewAfter} of cases) {
	test(`placement plan: ${name}`, () => {
		const plan = planLayer({map: {slotsPerRank, slots}, loads, slowFactors}, {...TERMS, maxWeightLoads: maxLoads});
		if (skewAfter === undefined) {
			assert.equal(plan, undefined);
			return;
		}

		assert.ok(plan);
		assert.ok(plan.weightLoads <= maxLoads);
		assert.ok(measureSkew(measureRankTimes(plan.map, loads, slowFactors)) <= skewAfter + 1e-9);
	});
}

test('placement plans keep every expert, hold none twice on a rank, count their loads and pay', () => {
	const layer = fc.record({
		ranks: fc.integer({min: 1, max: 6}),
		slotsPerRank: fc.integer({min: 1, max: 4}),
		loads: fc.array(fc.double({min: 0, max: 1000, noNaN: true}), {minLength: 24, maxLength: 24}),
		slowFactors: fc.array(fc.double({min: 0.5, max: 3, noNaN: true}), {minLength: 6, maxLength: 6}),
	});
	fc.assert(fc.property(layer, ({ranks, slotsPerRank, loads, slowFactors}) => {
		const experts = Math.max(1, (ranks * slotsPerRank) - ranks);
		const slots = Array.from({length: ranks * slotsPerRank}, (_, slot) => slot < experts ? slot : EMPTY_SLOT);
		const state = {map: {slotsPerRank, slots}, loads: loads.slice(0, experts), slowFactors: slowFactors.slice(0, ranks)};
		const plan = planLayer(state, TERMS);
		if (!plan) {
			return;
		}

		for (let expert = 0; expert < experts; expert++) {
			assert.ok(plan.map.slots.includes(expert));
		}

		for (let rank = 0; rank < ranks; rank++) {
			const held: readonly number[] = plan.map.slots.slice(rank * slotsPerRank, (rank + 1) * slotsPerRank).filter(expert => expert !== EMPTY_SLOT);
			assert.equal(new Set(held).size, held.length);
		}

		assert.equal(plan.weightLoads, countWeightLoads(slots, plan.map.slots));
		const times = measureRankTimes(plan.map, state.loads, state.slowFactors);
		const timesBefore = measureRankTimes(state.map, state.loads, state.slowFactors);
		assert.ok(Math.max(...times) < Math.max(...timesBefore));
	}), {seed: 7, numRuns: 300});
});
