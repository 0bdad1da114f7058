import type {ExpertShape} from './expert-shape.js';

/** Options of a model engine. */
export type EngineOptions = Readonly<{
	listen: string;
	/** Rank within the group, from 0. */
	rank: number;
	/** Base URL of the rank group; empty for a standalone engine. */
	groupUrl: string;
	/** Base URL of the weight store; empty if experts load instantly. */
	weightStoreUrl: string;
	/** Whether an order with a stale fencing token is refused. */
	checksFencing: boolean;
	shape: ExpertShape;
	/** Seed of the expert popularity; must be the same in all ranks of a group. */
	seed: number;
	driftSteps: number;
	/** Step duration of a standalone engine, in milliseconds. */
	baseStepMillis: number;
	/** Multiplies the load of this rank; above 1 for a slow rank. */
	slowFactor: number;
	/** Maximum number of running streams. */
	capacity: number;
	/** Maximum number of queued streams. */
	queueLimit: number;
	/** Steps before the first token when the prefix is not cached. */
	prefillSteps: number;
	cachePrefixes: number;
	cacheLagMillis: number;
	cacheGapShare: number;
	/** Age of the load in the reported state, in milliseconds. */
	loadLagMillis: number;
}>;

/** A standalone engine without faults that answers immediately. */
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
