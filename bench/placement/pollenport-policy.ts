import type {PlacementPlanner} from '../../src/decisions/placement/placement-planner.js';
import type {PlanObjective} from '../../src/decisions/placement/placement-types.js';
import type {PlacementPolicy} from './placement-policy.js';

/** Creates a policy that runs Pollenport's placement planner after every step. */
export function createPollenportPolicy(planner: PlacementPlanner, objective: PlanObjective): PlacementPolicy {
	return {
		name: 'pollenport',
		afterStep({layer, tokens, rankTokens, rankTimes, map}) {
			planner.observeLoad(layer, tokens, 1);
			planner.observeTimings(rankTokens.map((count, rank) => ({tokens: count, time: rankTimes[rank]})));
			return planner.planLayer(layer, map, objective, Number.POSITIVE_INFINITY)?.map;
		},
	};
}
