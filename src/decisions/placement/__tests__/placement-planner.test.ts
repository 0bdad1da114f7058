import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createInitialMap} from '../initial-map.js';
import {createRankSpeedTracker} from '../rank-speed-tracker.js';
import {createPlacementPlanner} from '../placement-planner.js';
import type {GroupShape} from '../placement-types.js';

const SHAPE: GroupShape = {
	ranks: 2, slotsPerRank: 3, experts: 4, layers: 1,
};

function setUp() {
	const planner = createPlacementPlanner(SHAPE);
	const map = createInitialMap(SHAPE);
	assert.ok(planner.ok && map.ok);
	return {planner: planner.value, map: map.value.layers[0] ?? {slotsPerRank: 3, slots: []}};
}

test('a group with fewer slots than experts is rejected with both numbers', () => {
	const created = createPlacementPlanner({...SHAPE, experts: 7});
	assert.deepEqual(created, {ok: false, error: {tag: 'too_few_slots', slots: 6, experts: 7}});
	assert.equal(createPlacementPlanner({...SHAPE, ranks: 0}).ok, false);
});

test('the initial map fills all slots and no rank holds an expert twice', () => {
	const {map} = setUp();
	assert.deepEqual(map.slots, [0, 2, 1, 1, 3, 0]);
});

const refusals: ReadonlyArray<Readonly<{name: string; tokens: readonly number[]; tag: string}>> = [
	{name: 'NaN', tokens: [1, Number.NaN, 1, 1], tag: 'bad_count'},
	{name: 'negative', tokens: [1, 1, -1, 1], tag: 'bad_count'},
	{name: 'infinite', tokens: [Number.POSITIVE_INFINITY, 1, 1, 1], tag: 'bad_count'},
	{name: 'missing', tokens: [1, 1, 1], tag: 'wrong_length'},
];

for (const {name, tokens, tag} of refusals) {
	test(`a report with a count that is ${name} is rejected and has no effect`, () => {
		const {planner} = setUp();
		planner.observeLoad(0, [4, 4, 4, 4], 1);
		const refused = planner.observeLoad(0, tokens, 1);
		assert.equal(refused.ok ? 'ok' : refused.error.tag, tag);
		assert.deepEqual(planner.readLoads(0), [4, 4, 4, 4]);
	});
}

test('nothing is planned before a load was observed, nor again while the load is unchanged', () => {
	const {planner, map} = setUp();
	assert.equal(planner.planLayer(0, map, 'skew', 100), undefined);
	let current = map;
	const plannedAt: number[] = [];
	for (let round = 0; round < 200; round++) {
		planner.observeLoad(0, [900, 100, 4000, 300], 10);
		const plan = planner.planLayer(0, current, 'skew', 100);
		if (plan) {
			plannedAt.push(round);
			current = plan.map;
		}
	}

	assert.deepEqual(plannedAt, [0]);
});

test('a changed load leads to a plan within a few steps', () => {
	const {planner, map} = setUp();
	for (let step = 0; step < 200; step++) {
		planner.observeLoad(0, [1000 + (step % 2), 1000, 1000, 1000], 1);
		assert.equal(planner.planLayer(0, map, 'skew', 100), undefined);
	}

	for (let step = 0; step < 4; step++) {
		planner.observeLoad(0, [100, 100, 9000, 100], 1);
	}

	assert.ok(planner.planLayer(0, map, 'skew', 100));
});

const slowFactorCases: ReadonlyArray<Readonly<{name: string; times: ReadonlyArray<number | undefined>; factors: readonly number[]}>> = [
	{name: 'a rank at half speed', times: [100, 100, 200, 100], factors: [1, 1, 2, 1]},
	{name: 'a rank without a report', times: [100, undefined, 200, 100], factors: [1, 1, 2, 1]},
	{name: 'no report at all', times: [undefined, undefined, undefined, undefined], factors: [1, 1, 1, 1]},
	{name: 'the time of the whole group from every rank', times: [200, 200, 200, 200], factors: [1, 1, 1, 1]},
	{name: 'times that are not numbers', times: [Number.NaN, 100, -1, 200], factors: [1, 1, 1, 2]},
	{name: 'a rank slower than the bound', times: [100, 100, 1e9, 100], factors: [1, 1, 8, 1]},
];

for (const {name, times, factors} of slowFactorCases) {
	test(`slow factors: ${name}`, () => {
		const tracker = createRankSpeedTracker(4);
		for (let round = 0; round < 3; round++) {
			tracker.observe(times.map(time => ({tokens: 100, time})));
		}

		assert.deepEqual(tracker.readSlowFactors(), factors);
	});
}

test('a single stall does not make a rank slow', () => {
	const tracker = createRankSpeedTracker(2);
	for (const time of [100, 100, 900, 100]) {
		tracker.observe([{tokens: 100, time: 107}, {tokens: 100, time}]);
	}

	assert.deepEqual(tracker.readSlowFactors(), [1, 1]);
});
