import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {match} from 'ts-pattern';
import type {LoadTrace, TraceLine} from './trace-line.js';
import type {TraceShape} from './trace-shape.js';

/** Swing of an expert's logarithmic popularity over a season. */
const SEASON_SWING = 1;
/** Steps between two sudden changes. */
const CHANGE_STEPS = 400;
/** Share of the experts that trade places at a sudden change. */
const CHANGE_SHARE = 0.25;
/** Factor on the popularity of the expert that a burst hits. */
const BURST_FACTOR = 8;
/** Where in the trace the burst begins and ends, as shares of its steps. */
const BURST_WINDOW = {begin: 0.4, end: 0.6};

/** Draws numbers from 0 up to 1. */
type Draw = () => number;

/** Popularity of the experts of one layer at a step; need not add up to 1. */
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

function createZipf(shape: TraceShape, draw: Draw): readonly number[] {
	const weights = Array.from({length: shape.experts}, (_, i) => (i + 1) ** -shape.exponent);
	return shuffle(weights, draw);
}

function createSeason(base: readonly number[], seasonSteps: number, draw: Draw): Popularity {
	const phases = base.map(() => draw() * 2 * Math.PI);
	return step => base.map((weight, expert) => {
		const angle = (2 * Math.PI * step / seasonSteps) + (phases[expert] ?? 0);
		return weight * Math.exp(SEASON_SWING * Math.sin(angle));
	});
}

/** Lets some experts trade their popularity. */
function trade(base: readonly number[], draw: Draw): readonly number[] {
	const traders = shuffle([...base.keys()], draw).slice(0, Math.ceil(base.length * CHANGE_SHARE));
	const changed = [...base];
	for (const [i, expert] of traders.entries()) {
		changed[expert] = base[traders[(i + 1) % traders.length] ?? expert] ?? 0;
	}

	return changed;
}

function createChanges(base: readonly number[], steps: number, draw: Draw): Popularity {
	const eras = [base];
	for (let step = CHANGE_STEPS; step < steps; step += CHANGE_STEPS) {
		eras.push(trade(eras.at(-1) ?? base, draw));
	}

	return step => eras[Math.floor(step / CHANGE_STEPS)] ?? base;
}

function createBurst(base: readonly number[], steps: number, draw: Draw): Popularity {
	const hit = Math.floor(draw() * base.length);
	const during = base.map((weight, expert) => expert === hit ? weight * BURST_FACTOR : weight);
	return step => step >= steps * BURST_WINDOW.begin && step < steps * BURST_WINDOW.end ? during : base;
}

function createPopularity(shape: TraceShape, draw: Draw): Popularity {
	const base = createZipf(shape, draw);
	return match(shape.kind)
		.with('zipf', (): Popularity => () => base)
		.with('season', () => createSeason(base, shape.seasonSteps, draw))
		.with('step', () => createChanges(base, shape.steps, draw))
		.with('burst', () => createBurst(base, shape.steps, draw))
		.exhaustive();
}

/** Tokens of each expert: counts around their mean, with the variance of a Poisson distribution. */
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
