/**
 * Answers popularity of experts that jumps within seconds: of all changes that even the load out, only the few that pay most
 * for their time to copy are made at once, and the next look decides on more.
 */
import type {GroupExperts} from '../../ports/rank-engine.js';
import {EMPTY_SLOT} from './initial-map.js';
import {measureRankTimes, measureSkew} from './layer-skew.js';
import {planLayer} from './plan-layer.js';

/** Skew that one copied expert must save in its layer. */
const SKEW_PER_LOAD = 0.004;
/** Skew that a change of a layer must save. */
const LEAST_LAYER_SAVING = 0.02;
/** Mean saving over all layers, as a part of the mean skew, from which on a switch pays for its copying and its pause. */
const LEAST_SAVING = 0.03;

/** What moves are planned from. */
export type MovesInput = Readonly<{
	/** Experts of each rank, layer by layer. */
	experts: GroupExperts;
	slotsPerRank: number;
	/** Tokens of each expert, layer by layer. */
	loads: ReadonlyArray<readonly number[]>;
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
	mostCopies: number;
	/** Mean over the layers of the largest rank time over the mean. */
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

function measureLayer(ranks: ReadonlyArray<readonly number[]>, loads: readonly number[], input: MovesInput): number {
	const {slotsPerRank, slowFactors} = input;
	return measureSkew(measureRankTimes({slotsPerRank, slots: toSlots(ranks, slotsPerRank)}, loads, slowFactors));
}

/** Experts of each rank that it did not hold. */
function countNew(before: ReadonlyArray<readonly number[]>, after: ReadonlyArray<readonly number[]>): readonly number[] {
	return after.map((experts, rank) => experts.filter(expert => !before[rank]?.includes(expert)).length);
}

function mean(values: readonly number[]): number {
	let sum = 0;
	for (const value of values) {
		sum += value;
	}

	return values.length === 0 ? 0 : sum / values.length;
}

/** Mean over the layers of the largest rank time over the mean. */
export function measureGroupSkew(input: MovesInput): number {
	return mean(input.experts.map((ranks, layer) => measureLayer(ranks, input.loads[layer] ?? [], input)));
}

/** Plans the next moves, the most uneven layer first; undefined when none pays. */
export function planMoves(input: MovesInput): MovesPlan | undefined {
	const {experts, loads, slotsPerRank, slowFactors} = input;
	const skews = experts.map((ranks, layer) => measureLayer(ranks, loads[layer] ?? [], input));
	const order = skews.map((skew, layer) => ({skew, layer})).toSorted((left, right) => right.skew - left.skew);
	const left = slowFactors.map(() => input.maxCopiesPerRank);
	const after = [...experts];
	const skewsAfter = [...skews];
	const copiesOfRank = slowFactors.map(() => 0);
	for (const {layer} of order) {
		const before = experts[layer] ?? [];
		const plan = planLayer({
			map: {slotsPerRank, slots: toSlots(before, slotsPerRank)}, loads: loads[layer] ?? [], slowFactors,
		}, {
			skewPerLoad: SKEW_PER_LOAD,
			leastSaving: LEAST_LAYER_SAVING,
			maxLoads: Infinity,
			maxLoadsOfRank: left.map(copies => Math.min(copies, input.maxCopiesPerRankAndLayer)),
		});
		if (!plan) {
			continue;
		}

		const changed = toRanks(plan.map.slots, slotsPerRank);
		for (const [rank, copies] of countNew(before, changed).entries()) {
			left[rank] = Math.max(0, (left[rank] ?? 0) - copies);
			copiesOfRank[rank] = (copiesOfRank[rank] ?? 0) + copies;
		}

		after[layer] = changed;
		skewsAfter[layer] = measureLayer(changed, loads[layer] ?? [], input);
	}

	const skewBefore = mean(skews);
	const skewAfter = mean(skewsAfter);
	if (skewBefore - skewAfter < LEAST_SAVING * skewBefore) {
		return undefined;
	}

	return {
		experts: after, copies: copiesOfRank.reduce((sum, copies) => sum + copies, 0), mostCopies: Math.max(...copiesOfRank), skewBefore, skewAfter,
	};
}
