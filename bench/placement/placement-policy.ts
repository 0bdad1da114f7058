import type {LayerMap} from '../../src/ports/model-engine.js';

/** Measurements of one layer in one step, given to a policy after the step. */
export type LayerObservation = Readonly<{
	step: number;
	layer: number;
	/** Tokens of each expert. */
	tokens: readonly number[];
	/** Tokens of each rank. */
	rankTokens: readonly number[];
	/** Time of each rank. */
	rankTimes: readonly number[];
	/** Map on which the step ran. */
	map: LayerMap;
}>;

/** A policy that places experts. It observes a step only after the step has run. */
export type PlacementPolicy = Readonly<{
	name: string;
	/** Returns the map of the layer for the following steps; undefined keeps the current map. */
	afterStep: (observation: LayerObservation) => LayerMap | undefined;
}>;
