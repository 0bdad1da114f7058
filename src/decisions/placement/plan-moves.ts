/**
 * Answers popularity of experts that jumps within seconds: of all changes that even the load out, only the few that pay most
 * for their time to copy are made at once, and the next look decides on more.
 */
import type {GroupExperts} from '../../ports/rank-engine.js';
import {sum} from '../sum.js';
import {EMPTY_SLOT} from './initial-map.js';
import {createLayerLayout, type LayerLayout, type LoadScenario} from './layer-layout.js';
import {planLayout} from './plan-layer.js';

/** Times a relative time is squared in the potential; several scenarios must count, not the worst one alone. */
const SQUARINGS = 2;
/** Skew that one copied expert must save in its layer. */
const SKEW_PER_LOAD = 0.016;
/** Skew that a change of a layer must save. */
const LEAST_LAYER_SAVING = 0.03;
/** Mean saving over all layers, as a part of the mean skew, from which on a switch pays for its copying and its pause. */
const LEAST_SAVING = 0.08;
/** Ranks that a change may put load on; the least loaded ones. */
const TARGET_RANKS = 4;
/** Changes in a row without a better plan before the search for a layer ends. */
const PATIENCE = 4;

/** What moves are planned from. */
export type MovesInput = Readonly<{
	/** Experts of each rank, layer by layer. */
	experts: GroupExperts;
	slotsPerRank: number;
	/** Loads of the experts, layer by layer. */
	scenarios: ReadonlyArray<readonly LoadScenario[]>;
	/** Time per token of each rank over that of a usual rank. */
	slowFactors: readonly number[];
	/** Experts that a rank may copy in one change, over all layers; they are copied one after the other. */
	maxCopiesPerRank: number;
	/** The same for each layer. */
	maxCopiesPerRankAndLayer: number;
}>;

/** A changed map. */
export type MovesPlan = Readonly<{
	experts: GroupExperts;
	/** Copies that all ranks make. */
	copies: number;
	/** Copies of the rank that makes most. */
	maxRankCopies: number;
	/** Mean over layers and scenarios of the largest rank time over the mean. */
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

/** Experts of each rank that it did not hold. */
function countNew(before: ReadonlyArray<readonly number[]>, after: ReadonlyArray<readonly number[]>): readonly number[] {
	return after.map((experts, rank) => experts.filter(expert => !before[rank]?.includes(expert)).length);
}

function openLayout({experts, scenarios, slotsPerRank, slowFactors}: MovesInput, layer: number): LayerLayout {
	return createLayerLayout({
		map: {slotsPerRank, slots: toSlots(experts[layer] ?? [], slotsPerRank)}, scenarios: scenarios[layer] ?? [], slowFactors, squarings: SQUARINGS,
	});
}

/** Plans the next moves, the most uneven layer first; undefined when none pays. */
export function planMoves(input: MovesInput): MovesPlan | undefined {
	const {experts, slotsPerRank, slowFactors} = input;
	const layouts = experts.map((_, layer) => openLayout(input, layer));
	const skews = layouts.map(layout => layout.skew());
	const order = [...skews.keys()].toSorted((left, right) => (skews[right] ?? 0) - (skews[left] ?? 0));
	const copiesOfRank = slowFactors.map(() => 0);
	const after = [...experts];
	const skewsAfter = [...skews];
	for (const layer of order) {
		const layout = layouts[layer];
		const plan = layout && planLayout(layout, {
			skewCostPerWeightLoad: SKEW_PER_LOAD,
			minSkewReduction: LEAST_LAYER_SAVING,
			maxWeightLoads: Infinity,
			maxWeightLoadsByRank: copiesOfRank.map(copies => Math.min(input.maxCopiesPerRank - copies, input.maxCopiesPerRankAndLayer)),
			targetRanks: TARGET_RANKS,
			maxChangesWithoutImprovement: PATIENCE,
		});
		if (!plan) {
			continue;
		}

		const changed = toRanks(plan.map.slots, slotsPerRank);
		for (const [rank, copies] of countNew(experts[layer] ?? [], changed).entries()) {
			copiesOfRank[rank] = (copiesOfRank[rank] ?? 0) + copies;
		}

		after[layer] = changed;
		skewsAfter[layer] = plan.skewAfter;
	}

	const skewBefore = sum(skews) / Math.max(1, skews.length);
	const skewAfter = sum(skewsAfter) / Math.max(1, skews.length);
	if (skewBefore - skewAfter < LEAST_SAVING * skewBefore) {
		return undefined;
	}

	return {
		experts: after, copies: sum(copiesOfRank), maxRankCopies: Math.max(...copiesOfRank), skewBefore, skewAfter,
	};
}
