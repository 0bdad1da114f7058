import type {ExpertShape} from './expert-shape.js';

/** How a model engine behaves. */
export type EngineOptions = Readonly<{
	listen: string;
	/** Rank within the group, from 0. */
	rank: number;
	/** Base URL of the rank group; empty for an engine on its own. */
	groupUrl: string;
	/** Base URL of the weight store; empty when loading takes no time. */
	weightStoreUrl: string;
	/** Whether an order with an old fencing token is refused. */
	checksFencing: boolean;
	shape: ExpertShape;
	/** Seed of expert popularity, the same in all ranks of a group. */
	seed: number;
	driftSteps: number;
	/** Time of a step of an engine on its own, in milliseconds. */
	baseStepMillis: number;
	/** Factor on the load of this rank; above 1 for a slow one. */
	slowFactor: number;
	/** Streams that run at once. */
	capacity: number;
	/** Streams that wait at most. */
	queueLimit: number;
	/** Steps before the first token when the prefix is not cached. */
	prefillSteps: number;
	cachePrefixes: number;
	cacheLagMillis: number;
	cacheGapShare: number;
	/** Age of the load in the reported state, in milliseconds. */
	loadLagMillis: number;
}>;

/** An engine on its own, without faults, that answers at once. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
	listen: '127.0.0.1:0',
	rank: 0,
	groupUrl: '',
	weightStoreUrl: '',
	checksFencing: true,
	shape: {
		ranks: 1, layers: 2, experts: 16, slotsPerRank: 6,
	},
	seed: 1,
	driftSteps: 200,
	baseStepMillis: 5,
	slowFactor: 1,
	capacity: 16,
	queueLimit: 256,
	prefillSteps: 2,
	cachePrefixes: 32,
	cacheLagMillis: 200,
	cacheGapShare: 0.1,
	loadLagMillis: 200,
};
