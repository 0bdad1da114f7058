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

/** Experts in turn, as a group forms. */
const firstExperts = Array.from({length: RANKS}, (_, rank) => Array.from({length: EXPERTS / RANKS}, (_item, i) => rank + (i * RANKS)));

/** Loads of prompts of one subject: a few experts get most of it. */
function createSubject(random: RandomSource): LoadScenario {
	const order = Array.from({length: EXPERTS}, () => random());
	const ranked = [...order.keys()].toSorted((left, right) => (order[left] ?? 0) - (order[right] ?? 0));
	const loads = Array.from({length: EXPERTS}, () => 0);
	for (const [place, expert] of ranked.entries()) {
		loads[expert] = TOKENS / ((place + 1) ** 1.3);
	}

	return {loads, weight: 1};
}

function createInput(scenarios: readonly LoadScenario[]): MovesInput {
	return {
		experts: [firstExperts],
		slotsPerRank: SLOTS_PER_RANK,
		scenarios: [scenarios],
		slowFactors: Array.from({length: RANKS}, () => 1),
		maxCopiesPerRank: 1,
		maxCopiesPerRankAndLayer: 1,
	};
}

/** Plans until nothing pays any more. */
function settle(input: MovesInput): Readonly<{plans: readonly MovesPlan[]; input: MovesInput}> {
	const plans: MovesPlan[] = [];
	let current = input;
	for (let plan = planMoves(current); plan && plans.length < 30; plan = planMoves(current)) {
		plans.push(plan);
		current = {...current, experts: plan.experts};
	}

	return {plans, input: current};
}

/** Largest rank time over the mean in passes of single subjects, averaged. */
function measure({experts, slotsPerRank, slowFactors}: MovesInput, scenarios: readonly LoadScenario[]): number {
	const slots = (experts[0] ?? []).flatMap(list => Array.from({length: slotsPerRank}, (_, i) => list[i] ?? -1));
	return createLayerLayout({
		map: {slotsPerRank, slots}, scenarios, slowFactors, squarings: 2,
	}).skew();
}

function mergeAll(scenarios: readonly LoadScenario[]): LoadScenario {
	return {loads: Array.from({length: EXPERTS}, (_, expert) => scenarios.reduce((sum, {loads}) => sum + (loads[expert] ?? 0), 0)), weight: 1};
}

void test('each plan copies at most what a rank may, keeps every expert, and pays', () => {
	const random = createSeededRandom(3);
	const {plans} = settle(createInput(Array.from({length: SUBJECTS}, () => createSubject(random))));
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

void test('passes of single prompts are evener when planned for than when their mean is', () => {
	for (const seed of [1, 2, 3]) {
		const random = createSeededRandom(seed);
		const subjects = Array.from({length: SUBJECTS}, () => createSubject(random));
		const first = measure(createInput(subjects), subjects);
		const byMean = measure(settle(createInput([mergeAll(subjects)])).input, subjects);
		const bySubject = measure(settle(createInput(subjects)).input, subjects);
		assert.ok(bySubject < byMean * 0.95, `seed ${seed}: ${bySubject} against ${byMean}`);
		assert.ok(bySubject < first * 0.75, `seed ${seed}: ${bySubject} against ${first} at first`);
	}
});

void test('popularity that jumps is followed within a few switches', () => {
	const random = createSeededRandom(7);
	const before = settle(createInput(Array.from({length: SUBJECTS}, () => createSubject(random)))).input;
	const jumped = Array.from({length: SUBJECTS}, () => createSubject(random));
	const {plans, input} = settle({...before, scenarios: [jumped]});
	assert.ok(plans.length <= 8, `${plans.length} switches`);
	assert.ok(measure(input, jumped) < measure(before, jumped) * 0.85);
});

void test('a load that is even needs no move', () => {
	assert.equal(planMoves(createInput([{loads: Array.from({length: EXPERTS}, () => 1), weight: 1}])), undefined);
});

void test('a slow rank is left with less', () => {
	const random = createSeededRandom(5);
	const subjects = Array.from({length: SUBJECTS}, () => createSubject(random));
	const slow = {...createInput(subjects), slowFactors: Array.from({length: RANKS}, (_, rank) => rank === 0 ? 2 : 1)};
	const {plans} = settle(slow);
	assert.ok((plans.at(-1)?.skewAfter ?? Infinity) < (plans[0]?.skewBefore ?? 0) * 0.8);
});

void test('scenarios keep the subjects of the latest prompts apart', () => {
	const scenarios = createLoadScenarios(2, 4);
	scenarios.observe(0, [100, 0, 0, 0, 50, 50, 0, 0]);
	scenarios.observe(1, [0, 0, 0, 100, 0, 0, 50, 50]);
	scenarios.observe(2, [0, 0, 0, 0, 0, 0, 0, 0]);
	assert.equal(scenarios.countSamples(), 2);
	assert.deepEqual(new Set(scenarios.read(0).map(({loads}) => loads.join(' '))), new Set(['0 0 0 100', '100 0 0 0']));
	assert.deepEqual(scenarios.read(1).map(({weight}) => weight), [100, 100]);
});

void test('small counts are collected until they say something', () => {
	const scenarios = createLoadScenarios(1, 2);
	scenarios.observe(0, [100, 0]);
	scenarios.observe(1, [0, 10]);
	assert.equal(scenarios.countSamples(), 1);
	scenarios.observe(1, [0, 60]);
	assert.equal(scenarios.countSamples(), 2);
});

void test('old scenarios give way to new ones', () => {
	const scenarios = createLoadScenarios(1, 2);
	for (let i = 0; i < 100; i++) {
		scenarios.observe(0, [100, 0]);
	}

	for (let i = 0; i < 40; i++) {
		scenarios.observe(0, [0, 100]);
	}

	assert.ok(scenarios.read(0).every(({loads}) => loads[0] === 0));
});
