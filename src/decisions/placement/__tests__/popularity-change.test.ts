import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom, type RandomSource} from '../../random.js';
import {createPopularityChange, measureSimilarity} from '../popularity-change.js';

const LAYERS = 12;
const EXPERTS = 128;
/** Share of each expert by its rank in popularity, as observed: 0.23, 0.095, 0.056, 0.04 and so on. */
const SHARES = Array.from({length: EXPERTS}, (_, i) => 0.23 * ((i + 1) ** -1.28));

/** Assigns the shares to experts at random; `kept` is the part of the experts that keep theirs. */
function drawPopularity(random: RandomSource, before: readonly number[] = [], kept = 0): readonly number[] {
	const free = [...SHARES];
	const next = Array.from({length: LAYERS * EXPERTS}, (_, i) => random() < kept ? before[i] : undefined);
	return next.map(share => share ?? free[Math.floor(random() * free.length)] ?? 0);
}

/** Choices of a few ranks in one or two passes; each of a few prompts favours experts of its own. */
function drawSample(random: RandomSource, popularity: readonly number[]): readonly number[] {
	const total = 20_000 * (0.5 + random());
	return popularity.map(share => Math.round(share * total * (0.6 + (0.8 * random())) / LAYERS));
}

void test('a jump of the popularity is seen in the first sample after it, and none is seen while it is stable (40 jumps)', () => {
	const random = createSeededRandom(7);
	const change = createPopularityChange();
	let popularity = drawPopularity(random);
	for (let jump = 0; jump < 40; jump++) {
		for (let i = 0; i < 30; i++) {
			assert.equal(change.observe(drawSample(random, popularity)), false, `jump ${jump}, sample ${i}`);
		}

		popularity = drawPopularity(random, popularity, 0.4);
		assert.equal(change.observe(drawSample(random, popularity)), true, `jump ${jump}`);
	}
});

void test('a jump in the middle of a long sample, as during a switch of the map, is seen in that sample or the next (40 jumps)', () => {
	const random = createSeededRandom(11);
	const change = createPopularityChange();
	let popularity = drawPopularity(random);
	for (let jump = 0; jump < 40; jump++) {
		for (let i = 0; i < 10; i++) {
			assert.equal(change.observe(drawSample(random, popularity)), false, `jump ${jump}, sample ${i}`);
		}

		const before = drawSample(random, popularity);
		popularity = drawPopularity(random, popularity, 0.4);
		const after = drawSample(random, popularity);
		const isSeenAtOnce = change.observe(before.map((count, i) => count + (after[i] ?? 0)));
		const isSeenNext = change.observe(drawSample(random, popularity));
		assert.ok(isSeenAtOnce || isSeenNext, `jump ${jump}`);
		change.observe(drawSample(random, popularity));
		change.observe(drawSample(random, popularity));
	}
});

void test('a sample of an almost idle group is not compared, whatever it shows', () => {
	const change = createPopularityChange();
	change.observe([100, 0, 0, 0]);
	assert.equal(change.observe([0, 0, 0, 1]), false);
	assert.equal(change.observe([0, 0, 0, 100]), true);
});

void test('the similarity does not depend on the size of a sample', () => {
	assert.ok(Math.abs(measureSimilarity([1, 2, 3], [10, 20, 30]) - 1) < 1e-9);
	assert.equal(measureSimilarity([1, 0], [0, 1]), 0);
});
