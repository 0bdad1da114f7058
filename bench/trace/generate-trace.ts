import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {match} from 'ts-pattern';
import type {LoadTrace, TraceLine} from './trace-line.js';
import type {TraceShape} from './trace-shape.js';

/** Amplitude of the logarithm of an expert's popularity over a season. */
const SEASON_AMPLITUDE = 1;
/** Steps between two sudden changes. */
const CHANGE_INTERVAL_STEPS = 400;
/** Share of the experts that exchange their popularities at a sudden change. */
const CHANGED_EXPERTS_SHARE = 0.25;
/** Factor on the popularity of the one expert whose load bursts. */
const BURST_FACTOR = 8;
/** Start and end of the burst, as shares of the steps of the trace. */
const BURST_WINDOW = {begin: 0.4, end: 0.6};

/** Draws a uniformly distributed number from 0 (inclusive) to 1 (exclusive). */
type Draw = () => number;

/** Relative popularity of the experts of one layer at a step; the values need not add up to 1. */
type Popularity = (step: number) => readonly number[];

function createDraw(seed: number): Draw {
	const random = xoroshiro128plus(seed);
	return () => uniformFloat64(random);
}

function drawNormal(draw: Draw): number {
	const radius = Math.sqrt(-2 * Math.log(1 - draw()));
	return radius * Math.cos(2 * Math.PI * draw());
}

function shuffle<T>(items: readonly T[], draw: Draw): readonly T[] {
	return items
		.map(item => ({item, order: draw()}))
		.toSorted((left, right) => left.order - right.order)
		.map(({item}) => item);
}

function createZipfWeights(shape: TraceShape, draw: Draw): readonly number[] {
	const weights = Array.from({length: shape.experts}, (_, i) => (i + 1) ** -shape.exponent);
	return shuffle(weights, draw);
}

function createSeasonalPopularity(base: readonly number[], seasonSteps: number, draw: Draw): Popularity {
	const phases = base.map(() => draw() * 2 * Math.PI);
	return step => base.map((weight, expert) => {
		const angle = (2 * Math.PI * step / seasonSteps) + (phases[expert] ?? 0);
		return weight * Math.exp(SEASON_AMPLITUDE * Math.sin(angle));
	});
}

/** Rotates the popularities among a random subset of the experts. */
function rotatePopularities(base: readonly number[], draw: Draw): readonly number[] {
	const changingExperts = shuffle([...base.keys()], draw).slice(0, Math.ceil(base.length * CHANGED_EXPERTS_SHARE));
	const changed = [...base];
	for (const [i, expert] of changingExperts.entries()) {
		changed[expert] = base[changingExperts[(i + 1) % changingExperts.length] ?? expert] ?? 0;
	}

	return changed;
}

function createStepwisePopularity(base: readonly number[], steps: number, draw: Draw): Popularity {
	const weightsByInterval = [base];
	for (let step = CHANGE_INTERVAL_STEPS; step < steps; step += CHANGE_INTERVAL_STEPS) {
		weightsByInterval.push(rotatePopularities(weightsByInterval.at(-1) ?? base, draw));
	}

	return step => weightsByInterval[Math.floor(step / CHANGE_INTERVAL_STEPS)] ?? base;
}

function createBurstPopularity(base: readonly number[], steps: number, draw: Draw): Popularity {
	const burstExpert = Math.floor(draw() * base.length);
	const burstWeights = base.map((weight, expert) => expert === burstExpert ? weight * BURST_FACTOR : weight);
	return step => step >= steps * BURST_WINDOW.begin && step < steps * BURST_WINDOW.end ? burstWeights : base;
}

function createPopularity(shape: TraceShape, draw: Draw): Popularity {
	const base = createZipfWeights(shape, draw);
	return match(shape.kind)
		.with('zipf', (): Popularity => () => base)
		.with('season', () => createSeasonalPopularity(base, shape.seasonSteps, draw))
		.with('step', () => createStepwisePopularity(base, shape.steps, draw))
		.with('burst', () => createBurstPopularity(base, shape.steps, draw))
		.exhaustive();
}

/** Draws the tokens of each expert from a normal distribution around their mean, with the variance of a Poisson distribution. */
function drawTokens(popularity: readonly number[], total: number, draw: Draw): readonly number[] {
	let sum = 0;
	for (const weight of popularity) {
		sum += weight;
	}

	return popularity.map(weight => {
		const mean = total * weight / sum;
		return Math.max(0, Math.round(mean + (Math.sqrt(mean) * drawNormal(draw))));
	});
}

/** Generates a trace; the same shape gives the same trace. */
export function generateTrace(shape: TraceShape): LoadTrace {
	const draw = createDraw(shape.seed);
	const popularities = Array.from({length: shape.layers}, () => createPopularity(shape, draw));
	const lines: TraceLine[] = [];
	for (let step = 0; step < shape.steps; step++) {
		for (const [layer, popularity] of popularities.entries()) {
			lines.push({step, layer, tokens: drawTokens(popularity(step), shape.tokensPerStep, draw)});
		}
	}

	return {experts: shape.experts, lines};
}
