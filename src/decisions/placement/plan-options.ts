import {match} from 'ts-pattern';
import type {PlanObjective, PlanOptions} from './placement-types.js';

/** Skew reduction that reloading every slot of a layer must bring; for the objective `skew`. */
const SKEW_OBJECTIVE_COST_PER_FULL_RELOAD = 0.4;
/** Skew reduction that a plan must bring; for the objective `skew`. */
const SKEW_OBJECTIVE_MIN_REDUCTION = 0.03;
/** Share of recently loaded slots at which a further weight load costs twice as much; for the objective `skew`. */
const SKEW_OBJECTIVE_BUSY_SHARE = 0.2;
/** Skew reduction that reloading every slot of a layer must bring, as a multiple of the unplanned layout's excess skew; for the objective `cost`. */
const COST_OBJECTIVE_EXCESS_PER_FULL_RELOAD = 8;
/** Skew reduction that a plan must bring, as a share of the unplanned layout's excess skew; for the objective `cost`. */
const COST_OBJECTIVE_MIN_REDUCTION = 0.3;
/** Share of the unplanned layout's excess skew above which a change is urgent; for the objective `cost`. */
const COST_OBJECTIVE_URGENT_SHARE = 0.5;
/** Factor on both thresholds for an urgent change; for the objective `cost`. */
const COST_OBJECTIVE_URGENT_FACTOR = 0.5;
/** Lower bound of the excess skew assumed for the unplanned layout. */
const MIN_EXCESS_SKEW = 0.1;

/** Inputs of the plan options of a layer. */
export type PlanOptionsInput = Readonly<{
	slots: number;
	/** Skew beyond 1 that the layout of a group without any plan would have under the current load. */
	unplannedExcessSkew: number;
	/** Skew beyond 1 of the current layout. */
	excessSkew: number;
	/** Recent weight loads, decayed with age. */
	recentWeightLoads: number;
	/** Largest number of weight loads that the weight store currently allows. */
	maxWeightLoads: number;
}>;

/** Chooses when a change pays off under this objective. */
export function choosePlanOptions(favour: PlanObjective, input: PlanOptionsInput): PlanOptions {
	const {slots, maxWeightLoads} = input;
	return match(favour)
		.with('skew', () => {
			const surcharge = (input.recentWeightLoads / (slots * SKEW_OBJECTIVE_BUSY_SHARE)) ** 2;
			return {skewCostPerWeightLoad: SKEW_OBJECTIVE_COST_PER_FULL_RELOAD * (1 + surcharge) / slots, minSkewReduction: SKEW_OBJECTIVE_MIN_REDUCTION, maxWeightLoads};
		})
		.with('cost', () => {
			const unplanned = Math.max(MIN_EXCESS_SKEW, input.unplannedExcessSkew);
			const scale = input.excessSkew > COST_OBJECTIVE_URGENT_SHARE * unplanned ? unplanned * COST_OBJECTIVE_URGENT_FACTOR : unplanned;
			return {skewCostPerWeightLoad: COST_OBJECTIVE_EXCESS_PER_FULL_RELOAD * scale / slots, minSkewReduction: COST_OBJECTIVE_MIN_REDUCTION * scale, maxWeightLoads};
		})
		.exhaustive();
}
