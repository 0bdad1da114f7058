import {createInitialMap} from '../../src/decisions/placement/initial-map.js';
import {createPlacementPlanner} from '../../src/decisions/placement/placement-planner.js';
import type {PlanObjective, PlacementError} from '../../src/decisions/placement/placement-types.js';
import {succeed, type Result} from '../../src/core/result.js';
import type {LoadTrace} from '../trace/trace-line.js';
import {createFullRebalancePolicy} from './full-rebalance-policy.js';
import {createPollenportPolicy} from './pollenport-policy.js';
import {replay, type PolicyReport} from './replay.js';
import {staticPolicy} from './static-policy.js';

/** One rank that is slower than the others by `factor`. */
export type SlowRank = Readonly<{rank: number; factor: number}>;

/** How a trace is replayed. */
export type ComparisonOptions = Readonly<{
	ranks: number;
	slotsPerRank: number;
	favour: PlanObjective;
	/** Steps between two full rebalances. */
	interval: number;
	slowRank: SlowRank | undefined;
}>;

/** Replays a trace through both baselines and the decider, all from the same first map. */
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

	const decider = createPlacementPlanner(shape);
	if (!decider.ok) {
		return decider;
	}

	const slowFactors = Array.from({length: ranks}, (_, rank) => rank === slowRank?.rank ? slowRank.factor : 1);
	const policies = [
		staticPolicy,
		createFullRebalancePolicy(options.interval, ranks),
		createPollenportPolicy(decider.value, options.favour),
	];
	return succeed(policies.map(policy => replay(trace, initialMap.value, slowFactors, policy)));
}
