import {setImmediate} from 'node:timers/promises';
import type {PlacementPlanner} from '../decisions/placement/placement-planner.js';
import type {PlanObjective, PlacementPlan} from '../decisions/placement/placement-types.js';
import type {ExpertMap} from '../ports/model-engine.js';

/**
 * Plans all layers of a group, the most imbalanced one first, with at most `maxWeightLoads` loads in total; undefined when no
 * change is worthwhile. Yields to the event loop after each layer.
 */
export async function planGroup(planner: PlacementPlanner, map: ExpertMap, objective: PlanObjective, maxWeightLoads: number): Promise<PlacementPlan | undefined> {
	const layers = [...map.layers];
	let weightLoads = 0;
	let isChanged = false;
	for (const layer of planner.orderLayersBySkew(map)) {
		const layerMap = layers[layer];
		const plan = layerMap && planner.planLayer(layer, layerMap, objective, maxWeightLoads - weightLoads);
		if (plan) {
			layers[layer] = plan.map;
			weightLoads += plan.weightLoads;
			isChanged = true;
		}

		// eslint-disable-next-line no-await-in-loop
		await setImmediate();
	}

	return isChanged ? {map: {layers}, weightLoads} : undefined;
}
