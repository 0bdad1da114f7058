import type {ExpertMap, LayerMap} from '../../ports/model-engine.js';

/** Objective with the greater weight for a group: `skew` for balanced steps, `cost` for few moves. */
export type PlanObjective = 'skew' | 'cost';

/** Shape of a rank group. */
export type GroupShape = Readonly<{
	ranks: number;
	slotsPerRank: number;
	experts: number;
	layers: number;
}>;

/** State that a layer is planned from. */
export type LayerState = Readonly<{
	map: LayerMap;
	/** Expected tokens of each expert per step. */
	loads: readonly number[];
	/** Ratio of the time per token of each rank to that of a typical rank. */
	slowFactors: readonly number[];
}>;

/** Conditions for a change of a layer and limits of the search for it. */
export type PlanOptions = Readonly<{
	/** Minimum skew reduction per weight load; deducted from the benefit of a plan. */
	skewCostPerWeightLoad: number;
	/** Minimum skew reduction of a plan as a whole. */
	minSkewReduction: number;
	/** Largest number of weight loads. */
	maxWeightLoads: number;
	/** Largest number of weight loads of each rank; without it only their sum is bounded. */
	maxWeightLoadsByRank?: readonly number[];
	/** Number of least loaded ranks that a change may add load to. */
	targetRanks?: number;
	/** Number of consecutive changes without a better plan after which the search ends. */
	maxChangesWithoutImprovement?: number;
}>;

/** A changed layer. */
export type LayerPlan = Readonly<{
	map: LayerMap;
	/** Number of slots that receive a copy they did not hold. */
	weightLoads: number;
	skewBefore: number;
	skewAfter: number;
}>;

/** A changed map of a group. */
export type PlacementPlan = Readonly<{
	map: ExpertMap;
	/** Number of slots of all layers that receive a copy they did not hold. */
	weightLoads: number;
}>;

/** Why a group cannot be planned or a load report cannot be used. */
export type PlacementError
	= | Readonly<{tag: 'too_few_slots'; slots: number; experts: number}>
		| Readonly<{tag: 'no_ranks'}>
		| Readonly<{tag: 'bad_count'; layer: number; expert: number; value: number}>
		| Readonly<{tag: 'wrong_length'; layer: number; expected: number; actual: number}>;
