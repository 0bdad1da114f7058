import {match} from 'ts-pattern';
import type {Clock} from '../../src/core/clock.js';
import {fail, succeed, type Result} from '../../src/core/result.js';
import type {EngineOrder, EngineState, StreamRequest} from '../../src/ports/model-engine.js';
import {digestPromptPrefix} from '../../src/ports/prompt-prefix.js';
import {
	createBatch, type Batch, type StreamRefusal, type StreamSink,
} from './batch.js';
import type {EngineOptions} from './engine-options.js';
import {createExpertLoader, createWeightStoreFetch, type ExpertLoader} from './expert-loader.js';
import {createExpertPopularity} from './expert-popularity.js';
import {createInitialMap} from './expert-shape.js';
import {createHttpGroupLink, createStandaloneLink} from './group-link.js';
import {createLoadMeter} from './load-meter.js';
import {createMapAgreement, type MapAgreement, type MapRefusal} from './map-agreement.js';
import {createPrefixCache, type PrefixCache} from './prefix-cache.js';
import {runStepsUntilAborted} from './step-runner.js';

/** Why an order was refused. */
export type OrderRefusal = MapRefusal | Readonly<{tag: 'refused'; reason: 'old_fencing_token'}>;

/** An order and its outcome, as written to the records. */
export type OrderRecord = Readonly<{fencingToken: number; order: EngineOrder; outcome: string}>;

/** One model engine. */
export type Engine = {
	readonly batch: Batch;
	readonly cache: PrefixCache;
	readonly startStream: (req: StreamRequest, sink: StreamSink) => Result<void, StreamRefusal>;
	/** Marks the attempt as imported: its stream needs no prefill when it starts. */
	readonly importStream: (attemptId: string) => void;
	readonly order: (order: EngineOrder, fencingToken: number) => Promise<Result<void, OrderRefusal>>;
	readonly readState: () => EngineState;
	readonly records: () => Readonly<{orders: readonly OrderRecord[]; streams: ReturnType<Batch['records']>; fetchedExperts: number}>;
	/** Runs the steps until the engine is stopped. */
	readonly run: () => Promise<void>;
	readonly stop: () => void;
};

/** Dependencies that the hosting process provides to an engine. */
export type EngineDeps = Readonly<{clock: Clock; waitWhileFrozen: () => Promise<void>}>;

function createLoader(options: EngineOptions): ExpertLoader {
	const fetchExpert = options.weightStoreUrl === ''
		? async () => 0
		: createWeightStoreFetch(options.weightStoreUrl);
	return createExpertLoader(options.rank, createInitialMap(options.shape), fetchExpert);
}

async function executeOrder(order: EngineOrder, agreement: MapAgreement, loader: ExpertLoader): Promise<Result<void, MapRefusal>> {
	return match(order)
		.returnType<Promise<Result<void, MapRefusal>>>()
		.with({tag: 'load_experts'}, async ({epoch, map}) => {
			await loader.load(epoch, map);
			return succeed(undefined);
		})
		.with({tag: 'hold'}, async ({epoch, fromStep}) => agreement.hold({epoch, fromStep}))
		.with({tag: 'forbid'}, async ({epoch}) => {
			const forbidden = agreement.forbid(epoch);
			if (forbidden.ok) {
				loader.releaseReserved(epoch);
			}

			return forbidden;
		})
		.with({tag: 'release'}, async ({epoch}) => {
			loader.releaseReserved(epoch);
			return agreement.release(epoch);
		})
		.with({tag: 'take_map'}, async ({epoch, map, fromStep}) => agreement.takeMap({epoch, map, fromStep}))
		.with({tag: 'load_model'}, {tag: 'load_adapter'}, {tag: 'change_role'}, async () => succeed(undefined))
		.exhaustive();
}

/** Creates an engine. No step runs until `run` is called. */
export function createEngine(options: EngineOptions, {clock, waitWhileFrozen}: EngineDeps): Engine {
	const {shape, rank} = options;
	const stopController = new AbortController();
	const link = options.groupUrl === ''
		? createStandaloneLink(options.baseStepMillis, clock, stopController.signal)
		: createHttpGroupLink(options.groupUrl, rank, stopController.signal);
	const agreement = createMapAgreement(createInitialMap(shape));
	const loader = createLoader(options);
	const batch = createBatch(options.capacity, options.queueLimit);
	const meter = createLoadMeter(shape, clock, options.loadLagMillis);
	const cache = createPrefixCache({
		size: options.cachePrefixes,
		eventLagMillis: options.cacheLagMillis,
		eventGapShare: options.cacheGapShare,
		seed: options.seed,
		clock,
	});
	const importedAttemptIds = new Set<string>();
	const orders: OrderRecord[] = [];
	let highestFencingToken = 0;

	/** Also records the highest token seen. */
	function refusesStaleToken(fencingToken: number): boolean {
		if (options.checksFencing && fencingToken < highestFencingToken) {
			return true;
		}

		highestFencingToken = Math.max(highestFencingToken, fencingToken);
		return false;
	}

	return {
		batch,
		cache,
		startStream(req, sink) {
			const isCached = cache.touch(digestPromptPrefix(req.prompt));
			const needsPrefill = !importedAttemptIds.has(req.attemptId) && !isCached;
			return batch.add(req, needsPrefill ? options.prefillSteps : 0, sink);
		},
		importStream(attemptId) {
			importedAttemptIds.add(attemptId);
		},
		async order(order, fencingToken) {
			const result: Result<void, OrderRefusal> = refusesStaleToken(fencingToken)
				? fail({tag: 'refused', reason: 'old_fencing_token'})
				: await executeOrder(order, agreement, loader);
			orders.push({fencingToken, order, outcome: result.ok ? 'done' : result.error.reason});
			return result;
		},
		readState() {
			const {groupIncarnation, nextStep, epoch, map, hold, released} = agreement.read();
			return {
				groupIncarnation,
				step: nextStep,
				mapEpoch: epoch,
				map,
				hold,
				releasedEpochs: [...released],
				...meter.read(),
				ageMillis: options.loadLagMillis,
			};
		},
		records: () => ({orders, streams: batch.records(), fetchedExperts: loader.fetchedCount()}),
		run: async () => runStepsUntilAborted({
			rank,
			slowFactor: options.slowFactor,
			link,
			agreement,
			loader,
			popularity: createExpertPopularity(options),
			batch,
			meter,
			waitWhileFrozen,
			signal: stopController.signal,
		}),
		stop() {
			stopController.abort();
		},
	};
}
