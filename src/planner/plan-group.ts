import {setImmediate} from 'node:timers/promises';
import type {PlacementPlanner} from '../decisions/placement/placement-planner.js';
import type {PlanObjective, PlacementPlan} from '../decisions/placement/placement-types.js';
import type {ExpertMap} from '../ports/model-engine.js';

/**
 * Plans all layers of a group, the most uneven one first, with at most `maxLoads` loads in all; undefined when no change
 * pays. Other tasks of the process get their turn between two layers.
 */
export async function planGroup(decider: PlacementPlanner, map: ExpertMap, favour: PlanObjective, maxLoads: number): Promise<PlacementPlan | undefined> {
	const layers = [...map.layers];
	let loads = 0;
	let isChanged = false;
	for (const layer of decider.orderLayersBySkew(map)) {
		const layerMap = layers[layer];
		const plan = layerMap && decider.planLayer(layer, layerMap, favour, maxLoads - loads);
		if (plan) {
			layers[layer] = plan.map;
			loads += plan.weightLoads;
			isChanged = true;
		}

		// eslint-disable-next-line no-await-in-loop
		await setImmediate();
	}

	return isChanged ? {map: {layers}, weightLoads: loads} : undefined;
}
