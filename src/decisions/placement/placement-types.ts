import type {ExpertMap, LayerMap} from '../../ports/model-engine.js';

/** What the users of a group weigh more: even steps or few moves. */
export type PlanObjective = 'skew' | 'cost';

/** Shape of a rank group. */
export type GroupShape = Readonly<{
	ranks: number;
	slotsPerRank: number;
	experts: number;
	layers: number;
}>;

/** What a layer is planned from. */
export type LayerState = Readonly<{
	map: LayerMap;
	/** Expected tokens of each expert in a step. */
	loads: readonly number[];
	/** Time per token of each rank over that of a usual rank. */
	slowFactors: readonly number[];
}>;

/** When a change of a layer pays. */
export type PlanOptions = Readonly<{
	/** Least skew that one load must save. */
	skewCostPerWeightLoad: number;
	/** Least skew that a plan must save as a whole. */
	minSkewReduction: number;
	/** Largest number of loads. */
	maxWeightLoads: number;
	/** Largest number of loads of each rank; without it only their sum is bounded. */
	maxWeightLoadsByRank?: readonly number[];
	/** Ranks that a change may put load on, the least loaded first. */
	targetRanks?: number;
	/** Changes made in a row without a better plan before the search ends. */
	maxChangesWithoutImprovement?: number;
}>;

/** A changed layer. */
export type LayerPlan = Readonly<{
	map: LayerMap;
	/** Slots that get a copy which they did not hold. */
	weightLoads: number;
	skewBefore: number;
	skewAfter: number;
}>;

/** A changed map of a group. */
export type PlacementPlan = Readonly<{
	map: ExpertMap;
	/** Slots of all layers that get a copy which they did not hold. */
	weightLoads: number;
}>;

/** Why a group cannot be planned, or a report of load cannot be used. */
export type PlacementError
	= | Readonly<{tag: 'too_few_slots'; slots: number; experts: number}>
		| Readonly<{tag: 'no_ranks'}>
		| Readonly<{tag: 'bad_count'; layer: number; expert: number; value: number}>
		| Readonly<{tag: 'wrong_length'; layer: number; expected: number; actual: number}>;
