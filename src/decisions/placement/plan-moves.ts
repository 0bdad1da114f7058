/**
 * Plans moves for expert popularity that jumps within seconds: of all changes that balance the load, only the few with the most
 * benefit for their copying time are made immediately; the next planning round decides on more.
 */
import type {GroupExperts} from '../../ports/rank-engine.js';
import {sum} from '../sum.js';
import {EMPTY_SLOT} from './initial-map.js';
import {createLayerLayout, type LayerLayout, type LoadScenario} from './layer-layout.js';
import {planLayout} from './plan-layer.js';

/** Number of times a relative time is squared in the potential; low, since several scenarios must count, not only the worst one. */
const SQUARINGS = 2;
/** Skew reduction in its layer that one copied expert must bring. */
const SKEW_COST_PER_WEIGHT_LOAD = 0.016;
/** Skew reduction that a change of a layer must bring. */
const MIN_LAYER_SKEW_REDUCTION = 0.03;
/** Mean skew reduction over all layers, relative to the mean skew, from which a map switch is worth its copying and its pause. */
const MIN_RELATIVE_SKEW_REDUCTION = 0.08;
/** Number of least loaded ranks that a change may add load to. */
const TARGET_RANKS = 4;
/** Number of consecutive changes without a better plan after which the search for a layer ends. */
const MAX_NON_IMPROVING_CHANGES = 4;

export type MovesInput = Readonly<{
	/** Experts of each rank, layer by layer. */
	experts: GroupExperts;
	slotsPerRank: number;
	/** Load scenarios, layer by layer. */
	scenarios: ReadonlyArray<readonly LoadScenario[]>;
	/** Ratio of the time per token of each rank to that of a typical rank. */
	slowFactors: readonly number[];
	/** Largest number of experts that a rank may copy in one change, over all layers; they are copied one after the other. */
	maxCopiesPerRank: number;
	/** The same limit for each layer. */
	maxCopiesPerRankAndLayer: number;
}>;

/** A changed map. */
export type MovesPlan = Readonly<{
	experts: GroupExperts;
	/** Number of copies made by all ranks. */
	copies: number;
	/** Largest number of copies made by one rank. */
	maxRankCopies: number;
	/** Ratio of the largest to the mean rank time, averaged over layers and scenarios. */
	skewBefore: number;
	skewAfter: number;
}>;

function toSlots(ranks: ReadonlyArray<readonly number[]>, slotsPerRank: number): readonly number[] {
	return ranks.flatMap(experts => Array.from({length: slotsPerRank}, (_, i) => experts[i] ?? EMPTY_SLOT));
}

function toRanks(slots: readonly number[], slotsPerRank: number): ReadonlyArray<readonly number[]> {
	return Array.from({length: slots.length / slotsPerRank}, (_, rank) =>
		slots.slice(rank * slotsPerRank, (rank + 1) * slotsPerRank).filter(expert => expert !== EMPTY_SLOT));
}

/** Counts the experts of each rank that it did not hold before. */
function countNewExperts(before: ReadonlyArray<readonly number[]>, after: ReadonlyArray<readonly number[]>): readonly number[] {
	return after.map((experts, rank) => experts.filter(expert => !before[rank]?.includes(expert)).length);
}

function createLayout({experts, scenarios, slotsPerRank, slowFactors}: MovesInput, layer: number): LayerLayout {
	return createLayerLayout({
		map: {slotsPerRank, slots: toSlots(experts[layer] ?? [], slotsPerRank)}, scenarios: scenarios[layer] ?? [], slowFactors, squarings: SQUARINGS,
	});
}

/** Plans the next moves, starting with the layer of the largest skew; undefined when none pays off. */
export function planMoves(input: MovesInput): MovesPlan | undefined {
	const {experts, slotsPerRank, slowFactors} = input;
	const layouts = experts.map((_, layer) => createLayout(input, layer));
	const skews = layouts.map(layout => layout.skew());
	const order = [...skews.keys()].toSorted((left, right) => (skews[right] ?? 0) - (skews[left] ?? 0));
	const copiesOfRank = slowFactors.map(() => 0);
	const after = [...experts];
	const skewsAfter = [...skews];
	for (const layer of order) {
		const layout = layouts[layer];
		const plan = layout && planLayout(layout, {
			skewCostPerWeightLoad: SKEW_COST_PER_WEIGHT_LOAD,
			minSkewReduction: MIN_LAYER_SKEW_REDUCTION,
			maxWeightLoads: Infinity,
			maxWeightLoadsByRank: copiesOfRank.map(copies => Math.min(input.maxCopiesPerRank - copies, input.maxCopiesPerRankAndLayer)),
			targetRanks: TARGET_RANKS,
			maxChangesWithoutImprovement: MAX_NON_IMPROVING_CHANGES,
		});
		if (!plan) {
			continue;
		}

		const changed = toRanks(plan.map.slots, slotsPerRank);
		for (const [rank, copies] of countNewExperts(experts[layer] ?? [], changed).entries()) {
			copiesOfRank[rank] = (copiesOfRank[rank] ?? 0) + copies;
		}

		after[layer] = changed;
		skewsAfter[layer] = plan.skewAfter;
	}

	const skewBefore = sum(skews) / Math.max(1, skews.length);
	const skewAfter = sum(skewsAfter) / Math.max(1, skews.length);
	if (skewBefore - skewAfter < MIN_RELATIVE_SKEW_REDUCTION * skewBefore) {
		return undefined;
	}

	return {
		experts: after, copies: sum(copiesOfRank), maxRankCopies: Math.max(...copiesOfRank), skewBefore, skewAfter,
	};
}
