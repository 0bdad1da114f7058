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

/** Plans when and how the expert map of one group changes. Keeps the observed load; has no other effect. */
export type PlacementPlanner = {
	/** Records the tokens of each expert of a layer over `steps` steps. A rejected report has no effect. */
	readonly observeLoad: (layer: number, tokens: readonly number[], steps: number) => Result<void, PlacementError>;
	readonly observeTimings: (timings: readonly RankTiming[]) => void;
	/** Plans a change of one layer that pays off; undefined when none does. */
	readonly planLayer: (layer: number, map: LayerMap, favour: PlanObjective, maxWeightLoads: number) => LayerPlan | undefined;
	/** Layers ordered by descending skew. */
	readonly orderLayersBySkew: (map: ExpertMap) => readonly number[];
	/** Expected tokens of each expert of a layer per step. */
	readonly readLoads: (layer: number) => readonly number[];
	readonly readSlowFactors: () => readonly number[];
};

/** Creates the planner of a group; fails for a group that cannot hold its experts. */
export function createPlacementPlanner(shape: GroupShape): Result<PlacementPlanner, PlacementError> {
	const unplanned = createInitialMap(shape);
	if (!unplanned.ok) {
		return unplanned;
	}

	const layers = unplanned.value.layers.map(map => createLayerPlanner(shape.experts, map));
	const rankSpeeds = createRankSpeedTracker(shape.ranks);

	function planLayer(layer: number, map: LayerMap, favour: PlanObjective, maxWeightLoads: number): LayerPlan | undefined {
		return layers[layer]?.plan({
			map, slowFactors: rankSpeeds.readSlowFactors(), favour, maxWeightLoads,
		});
	}

	function measureExcess(layer: number, map: LayerMap): number {
		return measureSkew(measureRankTimes(map, layers[layer]?.readLoads() ?? [], rankSpeeds.readSlowFactors()));
	}

	return succeed({
		observeLoad(layer, tokens, steps) {
			const checked = checkCounts(layer, tokens, shape.experts);
			if (checked.ok) {
				layers[layer]?.observe(tokens, steps);
			}

			return checked;
		},
		observeTimings: rankSpeeds.observe,
		planLayer,
		orderLayersBySkew: map => map.layers
			.map((layerMap, layer) => ({layer, excess: measureExcess(layer, layerMap)}))
			.toSorted((left, right) => right.excess - left.excess)
			.map(({layer}) => layer),
		readLoads: layer => layers[layer]?.readLoads() ?? [],
		readSlowFactors: rankSpeeds.readSlowFactors,
	});
}
