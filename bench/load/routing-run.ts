import {createSeededRandom, type RandomSource} from '../../src/decisions/random.js';
import type {RoutingRequest} from '../../src/decisions/routing/candidate.js';
import {
	createZipfSampler, drawExponential, mean, quantile, round,
} from './distributions.js';
import {createEngineFeed} from './engine-feed.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createEventLoop, type EventLoop} from './event-loop.js';
import type {EngineIdentity, EntryRouter, RoutingPolicy} from './routing-policies.js';
import type {RoutingScenario} from './routing-scenario.js';

const ENGINE_COUNT = 12;
const ENTRY_COUNT = 6;
const DOMAIN_COUNT = 3;
const RUN_DURATION_MILLIS = 200_000;
/** Initial part of a run that is excluded from the figures. */
const WARM_UP_MILLIS = 20_000;
/** Interval between two samples of the engines' load. */
const SAMPLE_INTERVAL_MILLIS = 250;
const STALL_DURATION_MILLIS = 3000;
/** Time left to the deadline of every request. */
const REMAINING_MILLIS = 30_000;

/** Figures of one policy in one scenario. */
export type RoutingFigures = Readonly<{
	scenario: string;
	name: string;
	requests: number;
	ttftMillisP50: number;
	ttftMillisP99: number;
	prefixHitShare: number;
	/** 95th percentile over time of the largest engine load divided by the mean engine load. */
	loadPeakOverMeanP95: number;
}>;

type Tally = {
	readonly ttftMillis: number[];
	readonly loadPeaksOverMean: number[];
	promptTokens: number;
	cachedTokens: number;
};

type Simulation = Readonly<{
	loop: EventLoop;
	scenario: RoutingScenario;
	engines: readonly EngineModel[];
	routers: readonly EntryRouter[];
	tally: Tally;
}>;

function createSimulation(scenario: RoutingScenario, policy: RoutingPolicy, seed: number): Simulation {
	const loop = createEventLoop();
	const random = createSeededRandom(seed + 1);
	const engineIdentities = Array.from({length: ENGINE_COUNT}, (_, i): EngineIdentity => ({agentId: `agent-${i}`, failureDomain: `domain-${i % DOMAIN_COUNT}`}));
	const routers = Array.from({length: ENTRY_COUNT}, (_, entry) => policy.createRouter(loop.clock, engineIdentities, entry, seed));
	const engines = engineIdentities.map((_, i) => {
		const feed = createEngineFeed(loop, random);
		const engine = createEngineModel(loop, scenario.slowFactor(i), feed.noteCacheChange);
		feed.start(engine, routers.map(router => report => {
			router.noteReport(i, report);
		}));
		return engine;
	});

	return {
		loop, scenario, engines, routers, tally: {
			ttftMillis: [], loadPeaksOverMean: [], promptTokens: 0, cachedTokens: 0,
		},
	};
}

/** The drawn properties of a request, before it is routed to an engine. */
type SimulatedRequest = Readonly<{entry: number; prefixDigest: string | undefined; prefixTokens: number; promptTokens: number; outputTokens: number}>;

function createRequestSampler(scenario: RoutingScenario, random: RandomSource): () => SimulatedRequest {
	const drawPrefix = createZipfSampler(scenario.sharedPrefixCount, 1, random);
	return () => {
		const entry = Math.floor(random() * ENTRY_COUNT);
		const isShared = random() < scenario.sharedPrefixShare;
		const prefixIndex = drawPrefix();
		const suffixTokens = 1 + Math.round(drawExponential(scenario.suffixTokens, random));
		const outputTokens = 1 + Math.round(drawExponential(scenario.outputTokens, random));
		return {
			entry,
			prefixDigest: isShared ? `prefix-${prefixIndex}` : undefined,
			prefixTokens: isShared ? scenario.prefixTokens : 0,
			promptTokens: suffixTokens + (isShared ? scenario.prefixTokens : 0),
			outputTokens,
		};
	};
}

function toRoutingRequest(req: SimulatedRequest, nowMillis: number): RoutingRequest {
	return {
		prefixes: req.prefixDigest === undefined ? [] : [{digest: req.prefixDigest, tokens: req.prefixTokens}],
		promptTokens: req.promptTokens,
		failureDomain: `domain-${req.entry % DOMAIN_COUNT}`,
		priority: 0,
		remainingMillis: REMAINING_MILLIS,
		nowMillis,
	};
}

function send(simulation: Simulation, req: SimulatedRequest): void {
	const startedAtMillis = simulation.loop.nowMillis();
	const routed = simulation.routers[req.entry]?.route(toRoutingRequest(req, startedAtMillis));
	if (!routed) {
		return;
	}

	simulation.engines[routed.engine]?.submit({
		...req,
		priority: 0,
		onFirstToken(cachedTokens) {
			routed.attempt.noteFirstToken();
			if (startedAtMillis >= WARM_UP_MILLIS) {
				simulation.tally.ttftMillis.push(simulation.loop.nowMillis() - startedAtMillis);
				simulation.tally.promptTokens += req.promptTokens;
				simulation.tally.cachedTokens += cachedTokens;
			}
		},
		onToken: routed.attempt.noteProgress,
		onEnd: routed.attempt.end,
	});
}

function startArrivals(simulation: Simulation, seed: number): void {
	const random = createSeededRandom(seed + 2);
	const drawRequest = createRequestSampler(simulation.scenario, random);
	const handleArrival = () => {
		send(simulation, drawRequest());
		const rate = simulation.scenario.ratePerSecond(simulation.loop.nowMillis());
		simulation.loop.schedule(drawExponential(1000 / rate, random), handleArrival);
	};

	handleArrival();
}

function startStalls(simulation: Simulation, seed: number): void {
	const random = createSeededRandom(seed + 3);
	const stall = () => {
		simulation.engines[Math.floor(random() * ENGINE_COUNT)]?.stall(simulation.loop.nowMillis() + STALL_DURATION_MILLIS);
		simulation.loop.schedule(simulation.scenario.stallIntervalMillis, stall);
	};

	if (Number.isFinite(simulation.scenario.stallIntervalMillis)) {
		simulation.loop.schedule(simulation.scenario.stallIntervalMillis, stall);
	}
}

function startSampling(simulation: Simulation): void {
	const sample = () => {
		const loads = simulation.engines.map(engine => {
			const load = engine.readLoad();
			return load.running + load.queued;
		});
		simulation.tally.loadPeaksOverMean.push(Math.max(...loads) / Math.max(1, mean(loads)));
		simulation.loop.schedule(SAMPLE_INTERVAL_MILLIS, sample);
	};

	simulation.loop.schedule(WARM_UP_MILLIS, sample);
}

/** Runs one policy in one scenario; the load depends on the seed only. */
export async function runRouting(scenario: RoutingScenario, policy: RoutingPolicy, seed: number): Promise<RoutingFigures> {
	const simulation = createSimulation(scenario, policy, seed);
	startArrivals(simulation, seed);
	startStalls(simulation, seed);
	startSampling(simulation);
	await simulation.loop.run(RUN_DURATION_MILLIS);
	const {tally} = simulation;
	return {
		scenario: scenario.name,
		name: policy.name,
		requests: tally.ttftMillis.length,
		ttftMillisP50: round(quantile(tally.ttftMillis, 0.5), 1),
		ttftMillisP99: round(quantile(tally.ttftMillis, 0.99), 1),
		prefixHitShare: round(tally.cachedTokens / Math.max(1, tally.promptTokens), 3),
		loadPeakOverMeanP95: round(quantile(tally.loadPeaksOverMean, 0.95)),
	};
}
