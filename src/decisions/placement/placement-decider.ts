import type {Result} from '../../core/result.js';
import type {ExpertMap, LayerMap} from '../../ports/model-engine.js';
import {checkCounts} from './check-counts.js';
import {createLoadTracker} from './load-tracker.js';
import {createPaceTracker, type RankPace} from './pace-tracker.js';
import {planLayer} from './plan-layer.js';
import {choosePlanTerms} from './plan-terms.js';
import type {
	Favour, GroupShape, LayerPlan, PlacementError, PlacementPlan,
} from './placement-types.js';

/** Decides when and how the expert map of one group changes. Keeps the load it was shown; has no other effect. */
export type PlacementDecider = {
	/** Takes the tokens of each expert of a layer over `steps` steps. A refused report changes nothing. */
	readonly observeLoad: (layer: number, tokens: readonly number[], steps: number) => Result<void, PlacementError>;
	readonly observePaces: (paces: readonly RankPace[]) => void;
	/** Change of one layer that pays; undefined when none does. */
	readonly planLayer: (layer: number, map: LayerMap, favour: Favour, maxLoads: number) => LayerPlan | undefined;
	/** Change of all layers that pays, with at most `maxLoads` loads in all; undefined when none does. */
	readonly plan: (map: ExpertMap, favour: Favour, maxLoads: number) => PlacementPlan | undefined;
	/** Expected tokens of each expert of a layer in a step. */
	readonly readLoads: (layer: number) => readonly number[];
	readonly readSlowFactors: () => readonly number[];
};

/** Creates the decider of a group. */
export function createPlacementDecider(shape: GroupShape): PlacementDecider {
	const trackers = Array.from({length: shape.layers}, () => createLoadTracker(shape.experts));
	const paces = createPaceTracker(shape.ranks);

	function decideLayer(layer: number, map: LayerMap, favour: Favour, maxLoads: number): LayerPlan | undefined {
		const tracker = trackers[layer];
		if (!tracker || tracker.isEmpty() || maxLoads < 1) {
			return undefined;
		}

		const state = {map, loads: tracker.readLoads(), slowFactors: paces.readSlowFactors()};
		return planLayer(state, choosePlanTerms(favour, maxLoads));
	}

	return {
		observeLoad(layer, tokens, steps) {
			const checked = checkCounts(layer, tokens, shape.experts);
			if (checked.ok) {
				trackers[layer]?.observe(tokens, steps);
			}

			return checked;
		},
		observePaces: paces.observe,
		planLayer: decideLayer,
		plan(map, favour, maxLoads) {
			let loadsLeft = maxLoads;
			const plans = map.layers.map((layerMap, layer) => {
				const plan = decideLayer(layer, layerMap, favour, loadsLeft);
				loadsLeft -= plan?.loads ?? 0;
				return plan;
			});
			if (plans.every(plan => plan === undefined)) {
				return undefined;
			}

			const layers = map.layers.map((layerMap, layer) => plans[layer]?.map ?? layerMap);
			return {map: {layers}, loads: maxLoads - loadsLeft};
		},
		readLoads: layer => trackers[layer]?.readLoads() ?? [],
		readSlowFactors: paces.readSlowFactors,
	};
}
