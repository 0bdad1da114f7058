import {succeed, type Result} from '../../core/result.js';
import type {ExpertMap, LayerMap} from '../../ports/model-engine.js';
import {checkCounts} from './check-counts.js';
import {createInitialMap} from './initial-map.js';
import {measureRankTimes, measureSkew} from './layer-skew.js';
import {createLayerDecider} from './layer-decider.js';
import {createPaceTracker, type RankPace} from './pace-tracker.js';
import type {
	Favour, GroupShape, LayerPlan, PlacementError,
} from './placement-types.js';

/** Plans when and how the expert map of one group changes. Keeps the observed load; has no other effect. */
export type PlacementDecider = {
	/** Records the tokens of each expert of a layer over `steps` steps. A rejected report has no effect. */
	readonly observeLoad: (layer: number, tokens: readonly number[], steps: number) => Result<void, PlacementError>;
	readonly observePaces: (paces: readonly RankPace[]) => void;
	/** Plans a change of one layer that pays off; undefined when none does. */
	readonly planLayer: (layer: number, map: LayerMap, favour: Favour, maxLoads: number) => LayerPlan | undefined;
	/** Layers ordered by descending skew. */
	readonly orderLayers: (map: ExpertMap) => readonly number[];
	/** Expected tokens of each expert of a layer per step. */
	readonly readLoads: (layer: number) => readonly number[];
	readonly readSlowFactors: () => readonly number[];
};

/** Creates the planner of a group; fails for a group that cannot hold its experts. */
export function createPlacementDecider(shape: GroupShape): Result<PlacementDecider, PlacementError> {
	const unplanned = createInitialMap(shape);
	if (!unplanned.ok) {
		return unplanned;
	}

	const layers = unplanned.value.layers.map(map => createLayerDecider(shape.experts, map));
	const paces = createPaceTracker(shape.ranks);

	function planLayer(layer: number, map: LayerMap, favour: Favour, maxLoads: number): LayerPlan | undefined {
		return layers[layer]?.plan({
			map, slowFactors: paces.readSlowFactors(), favour, maxLoads,
		});
	}

	function measureExcess(layer: number, map: LayerMap): number {
		return measureSkew(measureRankTimes(map, layers[layer]?.readLoads() ?? [], paces.readSlowFactors()));
	}

	return succeed({
		observeLoad(layer, tokens, steps) {
			const checked = checkCounts(layer, tokens, shape.experts);
			if (checked.ok) {
				layers[layer]?.observe(tokens, steps);
			}

			return checked;
		},
		observePaces: paces.observe,
		planLayer,
		orderLayers: map => map.layers
			.map((layerMap, layer) => ({layer, excess: measureExcess(layer, layerMap)}))
			.toSorted((left, right) => right.excess - left.excess)
			.map(({layer}) => layer),
		readLoads: layer => layers[layer]?.readLoads() ?? [],
		readSlowFactors: paces.readSlowFactors,
	});
}
