import {createInitialMap} from '../../src/decisions/placement/initial-map.js';
import {createPlacementPlanner} from '../../src/decisions/placement/placement-planner.js';
import type {PlanObjective, PlacementError} from '../../src/decisions/placement/placement-types.js';
import {succeed, type Result} from '../../src/core/result.js';
import type {LoadTrace} from '../trace/trace-line.js';
import {createFullRebalancePolicy} from './full-rebalance-policy.js';
import {createPollenportPolicy} from './pollenport-policy.js';
import {replay, type PolicyReport} from './replay.js';
import {staticPolicy} from './static-policy.js';

/** A rank whose time per token is `factor` times that of the others. */
export type SlowRank = Readonly<{rank: number; factor: number}>;

/** Group size and policy parameters of a replay. */
export type ComparisonOptions = Readonly<{
	ranks: number;
	slotsPerRank: number;
	objective: PlanObjective;
	/** Steps between two full rebalances. */
	intervalSteps: number;
	slowRank: SlowRank | undefined;
}>;

/** Replays a trace through both baselines and the placement planner, all from the same initial map. */
export function comparePolicies(trace: LoadTrace, options: ComparisonOptions): Result<readonly PolicyReport[], PlacementError> {
	const {ranks, slotsPerRank, slowRank} = options;
	const layers = 1 + Math.max(...new Set(trace.lines.map(({layer}) => layer)));
	const shape = {
		ranks, slotsPerRank, layers, experts: trace.experts,
	};
	const initialMap = createInitialMap(shape);
	if (!initialMap.ok) {
		return initialMap;
	}

	const planner = createPlacementPlanner(shape);
	if (!planner.ok) {
		return planner;
	}

	const slowFactors = Array.from({length: ranks}, (_, rank) => rank === slowRank?.rank ? slowRank.factor : 1);
	const policies = [
		staticPolicy,
		createFullRebalancePolicy(options.intervalSteps, ranks),
		createPollenportPolicy(planner.value, options.objective),
	];
	return succeed(policies.map(policy => replay(trace, initialMap.value, slowFactors, policy)));
}
