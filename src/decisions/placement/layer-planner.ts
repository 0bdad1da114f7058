import type {LayerMap} from '../../ports/model-engine.js';
import {measureRankTimes, measureSkew} from './layer-skew.js';
import {createLoadTracker} from './load-tracker.js';
import {planLayer} from './plan-layer.js';
import {choosePlanOptions} from './plan-options.js';
import type {PlanObjective, LayerPlan, LayerState} from './placement-types.js';

/** Half-life, in steps, of a weight load in the count of recent ones. */
const RECENT_WEIGHT_LOADS_HALF_LIFE_STEPS = 100;
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
	let recentWeightLoads = 0;
	let observations = 0;
	let failedSearch: FailedSearch | undefined;

	function isSearchDue(excessSkew: number, minSkewReduction: number): boolean {
		if (excessSkew < minSkewReduction) {
			return false;
		}

		return !failedSearch
			|| excessSkew > failedSearch.skew + (SEARCH_RETRY_GROWTH * minSkewReduction)
			|| observations >= failedSearch.observations + SEARCH_RETRY_OBSERVATIONS;
	}

	return {
		observe(tokens, steps) {
			tracker.observe(tokens, steps);
			observations++;
			recentWeightLoads *= 0.5 ** (steps / RECENT_WEIGHT_LOADS_HALF_LIFE_STEPS);
		},
		plan({map, slowFactors, favour, maxWeightLoads}) {
			if (tracker.isEmpty() || maxWeightLoads < 1) {
				return undefined;
			}

			const state = {map, loads: tracker.readLoads(), slowFactors};
			const excessSkew = measureExcessSkew(state);
			const options = choosePlanOptions(favour, {
				slots: map.slots.length,
				unplannedExcessSkew: measureExcessSkew({...state, map: unplanned}),
				excessSkew,
				recentWeightLoads,
				maxWeightLoads,
			});
			if (!isSearchDue(excessSkew, options.minSkewReduction + options.skewCostPerWeightLoad)) {
				return undefined;
			}

			const plan = planLayer(state, options);
			recentWeightLoads += plan?.weightLoads ?? 0;
			failedSearch = plan ? undefined : {skew: excessSkew, observations};
			return plan;
		},
		readLoads: tracker.readLoads,
	};
}
