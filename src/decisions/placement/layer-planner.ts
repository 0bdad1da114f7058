import type {LayerMap} from '../../ports/model-engine.js';
import {measureRankTimes, measureSkew} from './layer-skew.js';
import {createLoadTracker} from './load-tracker.js';
import {planLayer} from './plan-layer.js';
import {choosePlanOptions} from './plan-options.js';
import type {PlanObjective, LayerPlan, LayerState} from './placement-types.js';

/** Half-life, in steps, of a weight load in the count of recent ones. */
const RECENT_LOADS_HALF_LIFE_STEPS = 100;
/** Skew increase after which a failed search is repeated, as a share of the required skew reduction. */
const SEARCH_RETRY_GROWTH = 0.5;
/** Number of observations after which a failed search is repeated in any case. */
const SEARCH_RETRY_OBSERVATIONS = 64;

/** Plans changes of one layer. */
export type LayerPlanner = {
	/** Records the tokens of each expert over `steps` steps. */
	readonly observe: (tokens: readonly number[], steps: number) => void;
	/** Plans a change that pays off; undefined when none does. */
	readonly plan: (req: LayerPlanRequest) => LayerPlan | undefined;
	readonly readLoads: () => readonly number[];
};

/** Inputs of the plan of a layer besides its load. */
export type LayerPlanRequest = Readonly<{
	map: LayerMap;
	slowFactors: readonly number[];
	favour: PlanObjective;
	maxWeightLoads: number;
}>;

/** A search without a result, with the excess skew at that time. */
type FailedSearch = Readonly<{skew: number; observations: number}>;

function measureExcessSkew({map, loads, slowFactors}: LayerState): number {
	return measureSkew(measureRankTimes(map, loads, slowFactors)) - 1;
}

/** Creates the planner of a layer; `unplanned` is the layout of a group without any plan. */
export function createLayerPlanner(experts: number, unplanned: LayerMap): LayerPlanner {
	const tracker = createLoadTracker(experts);
	let recentLoads = 0;
	let observations = 0;
	let failedSearch: FailedSearch | undefined;

	function isSearchDue(excess: number, leastSaving: number): boolean {
		if (excess < leastSaving) {
			return false;
		}

		return !failedSearch
			|| excess > failedSearch.skew + (SEARCH_RETRY_GROWTH * leastSaving)
			|| observations >= failedSearch.observations + SEARCH_RETRY_OBSERVATIONS;
	}

	return {
		observe(tokens, steps) {
			tracker.observe(tokens, steps);
			observations++;
			recentLoads *= 0.5 ** (steps / RECENT_LOADS_HALF_LIFE_STEPS);
		},
		plan({map, slowFactors, favour, maxWeightLoads: maxLoads}) {
			if (tracker.isEmpty() || maxLoads < 1) {
				return undefined;
			}

			const state = {map, loads: tracker.readLoads(), slowFactors};
			const excess = measureExcessSkew(state);
			const terms = choosePlanOptions(favour, {
				slots: map.slots.length,
				unplannedExcessSkew: measureExcessSkew({...state, map: unplanned}),
				excessSkew: excess,
				recentWeightLoads: recentLoads,
				maxWeightLoads: maxLoads,
			});
			if (!isSearchDue(excess, terms.minSkewReduction + terms.skewCostPerWeightLoad)) {
				return undefined;
			}

			const plan = planLayer(state, terms);
			recentLoads += plan?.weightLoads ?? 0;
			failedSearch = plan ? undefined : {skew: excess, observations};
			return plan;
		},
		readLoads: tracker.readLoads,
	};
}
