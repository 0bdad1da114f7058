import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom, type RandomSource} from '../../random.js';
import {createLayerLayout, type LoadScenario} from '../layer-layout.js';
import {createLoadScenarios} from '../load-scenarios.js';
import {planMoves, type MovesInput, type MovesPlan} from '../plan-moves.js';

const RANKS = 12;
const EXPERTS = 96;
const SLOTS_PER_RANK = 11;
const SUBJECTS = 9;
const TOKENS = 1000;

/** Experts assigned round robin, as in a newly formed group. */
const initialExperts = Array.from({length: RANKS}, (_, rank) => Array.from({length: EXPERTS / RANKS}, (_item, i) => rank + (i * RANKS)));

/** Creates the load of prompts on one subject: a few experts get most of it. */
function createSubject(random: RandomSource): LoadScenario {
	const order = Array.from({length: EXPERTS}, () => random());
	const ranked = [...order.keys()].toSorted((left, right) => (order[left] ?? 0) - (order[right] ?? 0));
	const loads = Array.from({length: EXPERTS}, () => 0);
	for (const [position, expert] of ranked.entries()) {
		loads[expert] = TOKENS / ((position + 1) ** 1.3);
	}

	return {loads, weight: 1};
}

function createInput(scenarios: readonly LoadScenario[]): MovesInput {
	return {
		experts: [initialExperts],
		slotsPerRank: SLOTS_PER_RANK,
		scenarios: [scenarios],
		slowFactors: Array.from({length: RANKS}, () => 1),
		maxCopiesPerRank: 1,
		maxCopiesPerRankAndLayer: 1,
	};
}

/** Plans until no move pays off any more, for at most 30 plans. */
function planUntilDone(input: MovesInput): Readonly<{plans: readonly MovesPlan[]; input: MovesInput}> {
	const plans: MovesPlan[] = [];
	let current = input;
	for (let plan = planMoves(current); plan && plans.length < 30; plan = planMoves(current)) {
		plans.push(plan);
		current = {...current, experts: plan.experts};
	}

	return {plans, input: current};
}

/** Ratio of the largest to the mean rank time in steps of single subjects, averaged. */
function measureSkew({experts, slotsPerRank, slowFactors}: MovesInput, scenarios: readonly LoadScenario[]): number {
	const slots = (experts[0] ?? []).flatMap(held => Array.from({length: slotsPerRank}, (_, i) => held[i] ?? -1));
	return createLayerLayout({
		map: {slotsPerRank, slots}, scenarios, slowFactors, squarings: 2,
	}).skew();
}

function mergeAll(scenarios: readonly LoadScenario[]): LoadScenario {
	return {loads: Array.from({length: EXPERTS}, (_, expert) => scenarios.reduce((sum, {loads}) => sum + (loads[expert] ?? 0), 0)), weight: 1};
}

void test('each plan respects the copy limit of a rank, keeps every expert, and reduces the skew', () => {
	const random = createSeededRandom(3);
	const {plans} = planUntilDone(createInput(Array.from({length: SUBJECTS}, () => createSubject(random))));
	assert.ok(plans.length > 1);
	for (const plan of plans) {
		const [layer = []] = plan.experts;
		assert.ok(plan.maxRankCopies <= 1);
		assert.ok(plan.copies <= RANKS);
		assert.equal(new Set(layer.flat()).size, EXPERTS);
		assert.ok(layer.every(experts => experts.length <= SLOTS_PER_RANK && new Set(experts).size === experts.length));
		assert.ok(plan.skewAfter < plan.skewBefore);
	}
});

void test('planning for single subjects gives less skew than planning for their mean load', () => {
	for (const seed of [1, 2, 3]) {
		const random = createSeededRandom(seed);
		const subjects = Array.from({length: SUBJECTS}, () => createSubject(random));
		const initial = measureSkew(createInput(subjects), subjects);
		const byMean = measureSkew(planUntilDone(createInput([mergeAll(subjects)])).input, subjects);
		const bySubject = measureSkew(planUntilDone(createInput(subjects)).input, subjects);
		assert.ok(bySubject < byMean * 0.95, `seed ${seed}: ${bySubject} against ${byMean}`);
		assert.ok(bySubject < initial * 0.75, `seed ${seed}: ${bySubject} against ${initial} initially`);
	}
});

void test('a jump in popularity is followed within a few switches', () => {
	const random = createSeededRandom(7);
	const before = planUntilDone(createInput(Array.from({length: SUBJECTS}, () => createSubject(random)))).input;
	const jumped = Array.from({length: SUBJECTS}, () => createSubject(random));
	const {plans, input} = planUntilDone({...before, scenarios: [jumped]});
	assert.ok(plans.length <= 8, `${plans.length} switches`);
	assert.ok(measureSkew(input, jumped) < measureSkew(before, jumped) * 0.85);
});

void test('an even load needs no move', () => {
	assert.equal(planMoves(createInput([{loads: Array.from({length: EXPERTS}, () => 1), weight: 1}])), undefined);
});

void test('plans reduce the skew of a group with a slow rank', () => {
	const random = createSeededRandom(5);
	const subjects = Array.from({length: SUBJECTS}, () => createSubject(random));
	const slow = {...createInput(subjects), slowFactors: Array.from({length: RANKS}, (_, rank) => rank === 0 ? 2 : 1)};
	const {plans} = planUntilDone(slow);
	assert.ok((plans.at(-1)?.skewAfter ?? Infinity) < (plans[0]?.skewBefore ?? 0) * 0.8);
});

void test('scenarios keep the subjects of the latest prompts separate', () => {
	const scenarios = createLoadScenarios(2, 4);
	scenarios.observe(0, [100, 0, 0, 0, 50, 50, 0, 0]);
	scenarios.observe(1, [0, 0, 0, 100, 0, 0, 50, 50]);
	scenarios.observe(2, [0, 0, 0, 0, 0, 0, 0, 0]);
	assert.equal(scenarios.countSamples(), 2);
	assert.deepEqual(new Set(scenarios.read(0).map(({loads}) => loads.join(' '))), new Set(['0 0 0 100', '100 0 0 0']));
	assert.deepEqual(scenarios.read(1).map(({weight}) => weight), [100, 100]);
});

void test('small counts are accumulated until they are large enough for a sample', () => {
	const scenarios = createLoadScenarios(1, 2);
	scenarios.observe(0, [100, 0]);
	scenarios.observe(1, [0, 10]);
	assert.equal(scenarios.countSamples(), 1);
	scenarios.observe(1, [0, 60]);
	assert.equal(scenarios.countSamples(), 2);
});

void test('old scenarios are replaced by new ones', () => {
	const scenarios = createLoadScenarios(1, 2);
	for (let i = 0; i < 100; i++) {
		scenarios.observe(0, [100, 0]);
	}

	for (let i = 0; i < 40; i++) {
		scenarios.observe(0, [0, 100]);
	}

	assert.ok(scenarios.read(0).every(({loads}) => loads[0] === 0));
});
