import {match} from 'ts-pattern';
import type {PlanObjective, PlanOptions} from './placement-types.js';

/** Skew that loading every slot of a layer anew must save where even steps weigh more. */
const EVEN_SKEW_PER_REFILL = 0.4;
/** Skew that a plan must save where even steps weigh more. */
const EVEN_LEAST_SAVING = 0.03;
/** Share of the slots loaded lately at which a further load costs twice as much, where even steps weigh more. */
const EVEN_BUSY_SHARE = 0.2;
/** Share of the unplanned layout's excess that loading every slot anew must save where few moves weigh more. */
const CHEAP_EXCESS_PER_REFILL = 8;
/** Share of the unplanned layout's excess that a plan must save where few moves weigh more. */
const CHEAP_LEAST_SAVING = 0.3;
/** Share of the unplanned layout's excess from which on a change is urgent where few moves weigh more. */
const CHEAP_URGENT_SHARE = 0.5;
/** Factor on the terms of an urgent change. */
const CHEAP_URGENT_FACTOR = 0.5;
/** Least excess that the unplanned layout is taken to have. */
const LEAST_EXCESS = 0.1;

/** What the terms of a layer depend on. */
export type PlanOptionsInput = Readonly<{
	slots: number;
	/** Skew beyond 1 that the layout of a group without any plan would have under the present load. */
	unplannedExcessSkew: number;
	/** Skew beyond 1 of the present layout. */
	excessSkew: number;
	/** Loads of the recent past, older ones counting less. */
	recentWeightLoads: number;
	/** Largest number of loads that the weight store allows now. */
	maxWeightLoads: number;
}>;

/** When a change pays for a group with this favour. */
export function choosePlanOptions(favour: PlanObjective, input: PlanOptionsInput): PlanOptions {
	const {slots, maxWeightLoads: maxWeightLoads} = input;
	return match(favour)
		.with('skew', () => {
			const surcharge = (input.recentWeightLoads / (slots * EVEN_BUSY_SHARE)) ** 2;
			return {skewCostPerWeightLoad: EVEN_SKEW_PER_REFILL * (1 + surcharge) / slots, minSkewReduction: EVEN_LEAST_SAVING, maxWeightLoads: maxWeightLoads};
		})
		.with('cost', () => {
			const unplanned = Math.max(LEAST_EXCESS, input.unplannedExcessSkew);
			const scale = input.excessSkew > CHEAP_URGENT_SHARE * unplanned ? unplanned * CHEAP_URGENT_FACTOR : unplanned;
			return {skewCostPerWeightLoad: CHEAP_EXCESS_PER_REFILL * scale / slots, minSkewReduction: CHEAP_LEAST_SAVING * scale, maxWeightLoads: maxWeightLoads};
		})
		.exhaustive();
}
