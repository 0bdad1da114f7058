import type {LayerMap} from '../../ports/model-engine.js';
import {measureRankTimes, measureSkew} from './layer-skew.js';
import {createLoadTracker} from './load-tracker.js';
import {planLayer} from './plan-layer.js';
import {choosePlanOptions} from './plan-options.js';
import type {PlanObjective, LayerPlan, LayerState} from './placement-types.js';

/** Steps after which a load counts half as much towards the recent ones. */
const RECENT_HALF_LIFE_STEPS = 100;
/** Share of the least saving by which the skew must have grown before a search that found nothing is made again. */
const RETRY_GROWTH = 0.5;
/** Observations after which it is made again at the latest. */
const RETRY_OBSERVATIONS = 64;

/** Decides about one layer. */
export type LayerPlanner = {
	/** Takes the tokens of each expert over `steps` steps. */
	readonly observe: (tokens: readonly number[], steps: number) => void;
	/** A change that pays; undefined when none does. */
	readonly plan: (req: LayerPlanRequest) => LayerPlan | undefined;
	readonly readLoads: () => readonly number[];
};

/** What a layer is planned from besides its load. */
export type LayerPlanRequest = Readonly<{
	map: LayerMap;
	slowFactors: readonly number[];
	favour: PlanObjective;
	maxWeightLoads: number;
}>;

/** A search that found nothing. */
type Fruitless = Readonly<{skew: number; observations: number}>;

function measureExcess({map, loads, slowFactors}: LayerState): number {
	return measureSkew(measureRankTimes(map, loads, slowFactors)) - 1;
}

/** Creates the decider of a layer; `unplanned` is the layout of a group without any plan. */
export function createLayerPlanner(experts: number, unplanned: LayerMap): LayerPlanner {
	const tracker = createLoadTracker(experts);
	let recentLoads = 0;
	let observations = 0;
	let fruitless: Fruitless | undefined;

	function isWorthASearch(excess: number, leastSaving: number): boolean {
		if (excess < leastSaving) {
			return false;
		}

		return !fruitless
			|| excess > fruitless.skew + (RETRY_GROWTH * leastSaving)
			|| observations >= fruitless.observations + RETRY_OBSERVATIONS;
	}

	return {
		observe(tokens, steps) {
			tracker.observe(tokens, steps);
			observations++;
			recentLoads *= 0.5 ** (steps / RECENT_HALF_LIFE_STEPS);
		},
		plan({map, slowFactors, favour, maxWeightLoads: maxLoads}) {
			if (tracker.isEmpty() || maxLoads < 1) {
				return undefined;
			}

			const state = {map, loads: tracker.readLoads(), slowFactors};
			const excess = measureExcess(state);
			const terms = choosePlanOptions(favour, {
				slots: map.slots.length,
				unplannedExcessSkew: measureExcess({...state, map: unplanned}),
				excessSkew: excess,
				recentWeightLoads: recentLoads,
				maxWeightLoads: maxLoads,
			});
			if (!isWorthASearch(excess, terms.minSkewReduction + terms.skewCostPerWeightLoad)) {
				return undefined;
			}

			const plan = planLayer(state, terms);
			recentLoads += plan?.weightLoads ?? 0;
			fruitless = plan ? undefined : {skew: excess, observations};
			return plan;
		},
		readLoads: tracker.readLoads,
	};
}
