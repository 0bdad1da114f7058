import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {ExpertShape} from './expert-shape.js';

/** Tokens that each layer routes in a step. */
const TOKENS_PER_STEP = 4096;
const ZIPF_EXPONENT = 0.9;

/** Tokens of each expert in a step, one list a layer; ask for steps in rising order. */
export type ExpertPopularity = (step: number) => ReadonlyArray<readonly number[]>;

/** How popularity is drawn; engines of a group must share it. */
export type PopularityOptions = Readonly<{
	shape: Pick<ExpertShape, 'layers' | 'experts'>;
	seed: number;
	/** Steps after which two experts of each layer swap their popularity. */
	driftSteps: number;
}>;

function zipfShares(experts: number): readonly number[] {
	const weights = Array.from({length: experts}, (_, index) => 1 / ((index + 1) ** ZIPF_EXPONENT));
	const total = weights.reduce((sum, weight) => sum + weight, 0);
	return weights.map(weight => weight / total);
}

type Draw = (below: number) => number;

function shuffle(order: number[], draw: Draw): void {
	for (let i = order.length - 1; i > 0; i--) {
		swap(order, i, draw(i + 1));
	}
}

function swap(order: number[], left: number, right: number): void {
	const kept = order[left]!;
	order[left] = order[right]!;
	order[right] = kept;
}

/** Creates a Zipf popularity that drifts; the same options give the same tokens in every process. */
export function createExpertPopularity({shape, seed, driftSteps}: PopularityOptions): ExpertPopularity {
	const shares = zipfShares(shape.experts);
	let draws = xoroshiro128plus(seed);
	const draw: Draw = below => uniformInt(draws, 0, below - 1);
	let orders: number[][] = [];
	let drifts = 0;

	function restart(): void {
		draws = xoroshiro128plus(seed);
		drifts = 0;
		orders = Array.from({length: shape.layers}, () => Array.from({length: shape.experts}, (_, expert) => expert));
		for (const order of orders) {
			shuffle(order, draw);
		}
	}

	restart();
	return step => {
		const due = Math.floor(step / driftSteps);
		if (due < drifts) {
			restart();
		}

		for (; drifts < due; drifts++) {
			for (const order of orders) {
				swap(order, draw(shape.experts), draw(shape.experts));
			}
		}

		return orders.map(order => order.map(position => Math.round(TOKENS_PER_STEP * (shares[position] ?? 0))));
	};
}
