import {succeed, type Result} from '../../core/result.js';
import type {ExpertMap, LayerMap} from '../../ports/model-engine.js';
import {checkCounts} from './check-counts.js';
import {createInitialMap} from './initial-map.js';
import {measureRankTimes, measureSkew} from './layer-skew.js';
import {createLayerPlanner} from './layer-planner.js';
import {createRankSpeedTracker, type RankTiming} from './rank-speed-tracker.js';
import type {
	PlanObjective, GroupShape, LayerPlan, PlacementError,
} from './placement-types.js';

/** Decides when and how the expert map of one group changes. Keeps the load it was shown; has no other effect. */
export type PlacementPlanner = {
	/** Takes the tokens of each expert of a layer over `steps` steps. A refused report changes nothing. */
	readonly observeLoad: (layer: number, tokens: readonly number[], steps: number) => Result<void, PlacementError>;
	readonly observeTimings: (paces: readonly RankTiming[]) => void;
	/** Change of one layer that pays; undefined when none does. */
	readonly planLayer: (layer: number, map: LayerMap, favour: PlanObjective, maxLoads: number) => LayerPlan | undefined;
	/** Layers from the most to the least uneven one. */
	readonly orderLayersBySkew: (map: ExpertMap) => readonly number[];
	/** Expected tokens of each expert of a layer in a step. */
	readonly readLoads: (layer: number) => readonly number[];
	readonly readSlowFactors: () => readonly number[];
};

/** Creates the decider of a group; fails for a group that cannot hold its experts. */
export function createPlacementPlanner(shape: GroupShape): Result<PlacementPlanner, PlacementError> {
	const unplanned = createInitialMap(shape);
	if (!unplanned.ok) {
		return unplanned;
	}

	const layers = unplanned.value.layers.map(map => createLayerPlanner(shape.experts, map));
	const paces = createRankSpeedTracker(shape.ranks);

	function planLayer(layer: number, map: LayerMap, favour: PlanObjective, maxLoads: number): LayerPlan | undefined {
		return layers[layer]?.plan({
			map, slowFactors: paces.readSlowFactors(), favour, maxWeightLoads: maxLoads,
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
		observeTimings: paces.observe,
		planLayer,
		orderLayersBySkew: map => map.layers
			.map((layerMap, layer) => ({layer, excess: measureExcess(layer, layerMap)}))
			.toSorted((left, right) => right.excess - left.excess)
			.map(({layer}) => layer),
		readLoads: layer => layers[layer]?.readLoads() ?? [],
		readSlowFactors: paces.readSlowFactors,
	});
}
