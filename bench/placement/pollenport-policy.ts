import type {PlacementPlanner} from '../../src/decisions/placement/placement-planner.js';
import type {PlanObjective} from '../../src/decisions/placement/placement-types.js';
import type {PlacementPolicy} from './placement-policy.js';

/** The project's decider, asked after every step. */
export function createPollenportPolicy(decider: PlacementPlanner, favour: PlanObjective): PlacementPolicy {
	return {
		name: 'pollenport',
		afterStep({layer, tokens, rankTokens, rankTimes, map}) {
			decider.observeLoad(layer, tokens, 1);
			decider.observeTimings(rankTokens.map((count, rank) => ({tokens: count, time: rankTimes[rank]})));
			return decider.planLayer(layer, map, favour, Number.POSITIVE_INFINITY)?.map;
		},
	};
}
