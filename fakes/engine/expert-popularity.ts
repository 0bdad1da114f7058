import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {ExpertShape} from './expert-shape.js';

/** Tokens that each layer routes per step. */
const TOKENS_PER_STEP = 4096;
const ZIPF_EXPONENT = 0.9;

/** Tokens of each expert in a step, one list per layer. Requesting steps in ascending order avoids recomputation. */
export type ExpertPopularity = (step: number) => ReadonlyArray<readonly number[]>;

/** Options of the popularity; must be the same for all engines of a group. */
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

type DrawIndex = (below: number) => number;

function shuffle(positions: number[], drawIndex: DrawIndex): void {
	for (let i = positions.length - 1; i > 0; i--) {
		swap(positions, i, drawIndex(i + 1));
	}
}

function swap(positions: number[], left: number, right: number): void {
	const previousLeft = positions[left]!;
	positions[left] = positions[right]!;
	positions[right] = previousLeft;
}

/** Creates a Zipf-distributed popularity that drifts. The same options give the same tokens in every process. */
export function createExpertPopularity({shape, seed, driftSteps}: PopularityOptions): ExpertPopularity {
	const shares = zipfShares(shape.experts);
	let generator = xoroshiro128plus(seed);
	const drawIndex: DrawIndex = below => uniformInt(generator, 0, below - 1);
	let positionsByLayer: number[][] = [];
	let appliedDrifts = 0;

	function resetToSeed(): void {
		generator = xoroshiro128plus(seed);
		appliedDrifts = 0;
		positionsByLayer = Array.from({length: shape.layers}, () => Array.from({length: shape.experts}, (_, expert) => expert));
		for (const order of positionsByLayer) {
			shuffle(order, drawIndex);
		}
	}

	resetToSeed();
	return step => {
		const dueDrifts = Math.floor(step / driftSteps);
		if (dueDrifts < appliedDrifts) {
			resetToSeed();
		}

		for (; appliedDrifts < dueDrifts; appliedDrifts++) {
			for (const order of positionsByLayer) {
				swap(order, drawIndex(shape.experts), drawIndex(shape.experts));
			}
		}

		return positionsByLayer.map(order => order.map(position => Math.round(TOKENS_PER_STEP * (shares[position] ?? 0))));
	};
}
