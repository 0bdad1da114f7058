import {match} from 'ts-pattern';
import type {Favour, PlanTerms} from './placement-types.js';

/** Skew that one load must save where even steps weigh more. */
const SKEW_PER_LOAD_EVEN = 0.002;
/** Skew that a plan must save where even steps weigh more. */
const LEAST_SAVING_EVEN = 0.01;
/** Skew that one load must save where few moves weigh more. */
const SKEW_PER_LOAD_CHEAP = 0.01;
/** Skew that a plan must save where few moves weigh more. */
const LEAST_SAVING_CHEAP = 0.05;

/** When a change pays for a group with this favour. `maxLoads` is what the weight store allows now. */
export function choosePlanTerms(favour: Favour, maxLoads: number): PlanTerms {
	return match(favour)
		.with('skew', () => ({skewPerLoad: SKEW_PER_LOAD_EVEN, leastSaving: LEAST_SAVING_EVEN, maxLoads}))
		.with('cost', () => ({skewPerLoad: SKEW_PER_LOAD_CHEAP, leastSaving: LEAST_SAVING_CHEAP, maxLoads}))
		.exhaustive();
}
