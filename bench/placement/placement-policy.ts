import type {LayerMap} from '../../src/ports/model-engine.js';

/** What a policy sees of one layer after a step. */
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

/** A way to place experts. Sees a step only after it has run. */
export type PlacementPolicy = Readonly<{
	name: string;
	/** The map of the next steps of the layer; undefined to leave it as it is. */
	afterStep: (observation: LayerObservation) => LayerMap | undefined;
}>;
