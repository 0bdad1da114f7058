import {type Result, succeed} from '../core/result.js';
import {createInitialMap, EMPTY_SLOT} from '../decisions/placement/initial-map.js';
import type {GroupShape, PlacementError, PlacementPlan} from '../decisions/placement/placement-types.js';
import type {ExpertMap} from '../ports/model-engine.js';
import type {GroupView} from './group-view.js';
import {INITIAL_MAP_STABLE_READS} from './planner-constants.js';

/** Plans the initial map of a group; undefined while the size of the group is uncertain. */
export type InitialMapPlanner = (view: GroupView, shape: GroupShape) => Result<PlacementPlan | undefined, PlacementError>;

function countCopies(map: ExpertMap): number {
	let copies = 0;
	for (const {slots} of map.layers) {
		copies += slots.filter(expert => expert !== EMPTY_SLOT).length;
	}

	return copies;
}

/** Creates the initial map planner of one group. */
export function createInitialMapPlanner(): InitialMapPlanner {
	let stableReads = 0;
	let lastRankCount = 0;

	return (view, shape) => {
		stableReads = lastRankCount === shape.ranks ? stableReads + 1 : 1;
		lastRankCount = shape.ranks;
		const isSizeReported = (view.map.layers[0]?.slots.length ?? 0) > 0;
		if (!isSizeReported && stableReads < INITIAL_MAP_STABLE_READS) {
			return succeed(undefined);
		}

		const map = createInitialMap(shape);
		return map.ok ? succeed({map: map.value, weightLoads: countCopies(map.value)}) : map;
	};
}
