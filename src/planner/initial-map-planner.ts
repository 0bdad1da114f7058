import {type Result, succeed} from '../core/result.js';
import {createInitialMap, EMPTY_SLOT} from '../decisions/placement/initial-map.js';
import type {GroupShape, PlacementError, PlacementPlan} from '../decisions/placement/placement-types.js';
import type {ExpertMap} from '../ports/model-engine.js';
import type {GroupView} from './group-view.js';
import {INITIAL_MAP_STABLE_READS} from './planner-constants.js';

/** Plans the first map of a group; undefined while its size is not sure. */
export type InitialMapPlanner = (view: GroupView, shape: GroupShape) => Result<PlacementPlan | undefined, PlacementError>;

function countCopiesOfMap(map: ExpertMap): number {
	let copies = 0;
	for (const {slots} of map.layers) {
		copies += slots.filter(expert => expert !== EMPTY_SLOT).length;
	}

	return copies;
}

/** Creates the planner of first maps of one group. */
export function createInitialMapPlanner(): InitialMapPlanner {
	let sightings = 0;
	let sightedRanks = 0;

	return (view, shape) => {
		sightings = sightedRanks === shape.ranks ? sightings + 1 : 1;
		sightedRanks = shape.ranks;
		const isSizeReported = (view.map.layers[0]?.slots.length ?? 0) > 0;
		if (!isSizeReported && sightings < INITIAL_MAP_STABLE_READS) {
			return succeed(undefined);
		}

		const map = createInitialMap(shape);
		return map.ok ? succeed({map: map.value, weightLoads: countCopiesOfMap(map.value)}) : map;
	};
}
