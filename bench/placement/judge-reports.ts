import {match} from 'ts-pattern';
import type {PlanObjective} from '../../src/decisions/placement/placement-types.js';
import type {PolicyReport} from './replay.js';

/** Targets on the decider, as ratios to the baselines on the same trace. */
const TARGETS = {
	skew: {excessToStatic: 1 / 3, skewToFull: 1.02, movedToFull: 0.25},
	cost: {excessToStatic: 0.5, movedToFull: 0.05},
};

/** The decider against the baselines. */
export type Judgement = Readonly<{
	/** Mean skew less 1, over that of `static`. */
	excessToStatic: number;
	/** Mean skew over that of `full-rebalance`. */
	skewToFull: number;
	/** Moved experts over those of `full-rebalance`. */
	movedToFull: number;
	isMet: boolean;
}>;

/** Compares the last report, the decider's, with those of `static` and `full-rebalance` before it. */
export function judgeReports([still, full, own]: readonly PolicyReport[], favour: PlanObjective): Judgement {
	const excessToStatic = ((own?.meanSkew ?? 1) - 1) / ((still?.meanSkew ?? 1) - 1);
	const skewToFull = (own?.meanSkew ?? 1) / (full?.meanSkew ?? 1);
	const movedToFull = (own?.movedExperts ?? 0) / (full?.movedExperts ?? 1);
	const isMet = match(favour)
		.with('skew', () => excessToStatic <= TARGETS.skew.excessToStatic
			&& skewToFull <= TARGETS.skew.skewToFull
			&& movedToFull <= TARGETS.skew.movedToFull)
		.with('cost', () => excessToStatic <= TARGETS.cost.excessToStatic && movedToFull <= TARGETS.cost.movedToFull)
		.exhaustive();
	return {
		excessToStatic, skewToFull, movedToFull, isMet,
	};
}
