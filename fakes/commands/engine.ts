import {defineCommand} from 'citty';
import {DEFAULT_ENGINE_OPTIONS as defaults} from '../engine/engine-options.js';
import {createModelEngine} from '../model-engine.js';
import {listenArgument, readNumbers} from './arguments.js';
import {runStandIn} from './run-stand-in.js';

function numberArgument(defaultValue: number, description: string) {
	return {type: 'string', default: String(defaultValue), description} as const;
}

const numberArguments = {
	rank: numberArgument(defaults.rank, 'Rank within the group'),
	ranks: numberArgument(defaults.shape.ranks, 'Number of ranks in the group'),
	layers: numberArgument(defaults.shape.layers, 'Number of layers with experts'),
	experts: numberArgument(defaults.shape.experts, 'Experts per layer'),
	'slots-per-rank': numberArgument(defaults.shape.slotsPerRank, 'Expert copies per rank and layer'),
	seed: numberArgument(defaults.seed, 'Seed of the expert popularity'),
	'drift-steps': numberArgument(defaults.driftSteps, 'Steps between changes of the popularity'),
	'step-millis': numberArgument(defaults.baseStepMillis, 'Step duration of a standalone engine'),
	'slow-factor': numberArgument(defaults.slowFactor, 'Multiplier of the load of this rank'),
	capacity: numberArgument(defaults.capacity, 'Maximum number of running streams'),
	'queue-limit': numberArgument(defaults.queueLimit, 'Maximum number of queued streams'),
	'prefill-steps': numberArgument(defaults.prefillSteps, 'Steps before the first token if the prefix is not cached'),
	'cache-prefixes': numberArgument(defaults.cachePrefixes, 'Maximum number of cached prefixes'),
	'cache-lag-millis': numberArgument(defaults.cacheLagMillis, 'Delay before a cache event becomes visible'),
	'cache-gap-share': numberArgument(defaults.cacheGapShare, 'Share of the cache events that are lost'),
	'load-lag-millis': numberArgument(defaults.loadLagMillis, 'Age of the reported load'),
};

const numberNames = [
	'rank',
	'ranks',
	'layers',
	'experts',
	'slots-per-rank',
	'seed',
	'drift-steps',
	'step-millis',
	'slow-factor',
	'capacity',
	'queue-limit',
	'prefill-steps',
	'cache-prefixes',
	'cache-lag-millis',
	'cache-gap-share',
	'load-lag-millis',
] as const satisfies ReadonlyArray<keyof typeof numberArguments>;

/** Runs a model engine. */
export const engineCommand = defineCommand({
	meta: {name: 'engine', description: 'Model engine, one rank of a group or standalone'},
	args: {
		listen: listenArgument,
		group: {type: 'string', default: '', description: 'Base URL of the rank group'},
		'weight-store': {type: 'string', default: '', description: 'Base URL of the weight store'},
		'checks-fencing': {
			type: 'enum', options: ['true', 'false'], default: 'true', description: 'Refuse orders with a stale fencing token',
		},
		...numberArguments,
	},
	run: async ({args}) => runStandIn(readNumbers(args, numberNames), async numbers => createModelEngine({
		listen: args.listen,
		groupUrl: args.group,
		weightStoreUrl: args['weight-store'],
		checksFencing: args['checks-fencing'] === 'true',
		rank: numbers('rank'),
		shape: {
			ranks: numbers('ranks'),
			layers: numbers('layers'),
			experts: numbers('experts'),
			slotsPerRank: numbers('slots-per-rank'),
		},
		seed: numbers('seed'),
		driftSteps: numbers('drift-steps'),
		baseStepMillis: numbers('step-millis'),
		slowFactor: numbers('slow-factor'),
		capacity: numbers('capacity'),
		queueLimit: numbers('queue-limit'),
		prefillSteps: numbers('prefill-steps'),
		cachePrefixes: numbers('cache-prefixes'),
		cacheLagMillis: numbers('cache-lag-millis'),
		cacheGapShare: numbers('cache-gap-share'),
		loadLagMillis: numbers('load-lag-millis'),
	})),
});
