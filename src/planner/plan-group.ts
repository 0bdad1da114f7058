import {setImmediate} from 'node:timers/promises';
import type {PlacementDecider} from '../decisions/placement/placement-decider.js';
import type {Favour, PlacementPlan} from '../decisions/placement/placement-types.js';
import type {ExpertMap} from '../ports/model-engine.js';

/**
 * Plans all layers of a group, the most imbalanced one first, with at most `maxLoads` loads in total; undefined when no
 * change is worthwhile. Yields to the event loop after each layer.
 */
export async function planGroup(decider: PlacementDecider, map: ExpertMap, favour: Favour, maxLoads: number): Promise<PlacementPlan | undefined> {
	const layers = [...map.layers];
	let loads = 0;
	let isChanged = false;
	for (const layer of decider.orderLayers(map)) {
		const layerMap = layers[layer];
		const plan = layerMap && decider.planLayer(layer, layerMap, favour, maxLoads - loads);
		if (plan) {
			layers[layer] = plan.map;
			loads += plan.loads;
			isChanged = true;
		}

		// eslint-disable-next-line no-await-in-loop
		await setImmediate();
	}

	return isChanged ? {map: {layers}, loads} : undefined;
}
