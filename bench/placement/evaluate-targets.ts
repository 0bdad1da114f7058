import {match} from 'ts-pattern';
import type {PlanObjective} from '../../src/decisions/placement/placement-types.js';
import type {PolicyReport} from './replay.js';

/** Upper limits for the placement planner, as ratios to the baselines on the same trace. */
const TARGETS = {
	skew: {excessToStatic: 1 / 3, skewToFull: 1.02, movedToFull: 0.25},
	cost: {excessToStatic: 0.5, movedToFull: 0.05},
};

/** Ratios of the planner's results to those of the baselines, and whether they meet the targets. */
export type TargetEvaluation = Readonly<{
	/** Mean skew minus 1, divided by that of `static`. */
	excessToStatic: number;
	/** Mean skew divided by that of `full-rebalance`. */
	skewToFull: number;
	/** Moved experts divided by those of `full-rebalance`. */
	movedToFull: number;
	isMet: boolean;
}>;

/** Compares the report of `pollenport`, the last one, with those of `static` and `full-rebalance` before it. */
export function evaluateTargets([staticReport, fullRebalanceReport, pollenportReport]: readonly PolicyReport[], objective: PlanObjective): TargetEvaluation {
	const excessToStatic = ((pollenportReport?.meanSkew ?? 1) - 1) / ((staticReport?.meanSkew ?? 1) - 1);
	const skewToFull = (pollenportReport?.meanSkew ?? 1) / (fullRebalanceReport?.meanSkew ?? 1);
	const movedToFull = (pollenportReport?.movedExperts ?? 0) / (fullRebalanceReport?.movedExperts ?? 1);
	const isMet = match(objective)
		.with('skew', () => excessToStatic <= TARGETS.skew.excessToStatic
			&& skewToFull <= TARGETS.skew.skewToFull
			&& movedToFull <= TARGETS.skew.movedToFull)
		.with('cost', () => excessToStatic <= TARGETS.cost.excessToStatic && movedToFull <= TARGETS.cost.movedToFull)
		.exhaustive();
	return {
		excessToStatic, skewToFull, movedToFull, isMet,
	};
}
