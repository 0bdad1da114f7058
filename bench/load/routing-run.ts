import {createSeededRandom, type RandomSource} from '../../src/decisions/random.js';
import type {RoutingRequest} from '../../src/decisions/routing/candidate.js';
import {
	createZipf, drawExponential, mean, quantile, round,
} from './distributions.js';
import {createEngineFeed} from './engine-feed.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createEventLoop, type EventLoop} from './event-loop.js';
import type {EntryRouter, PlacedEngine, RoutingPolicy} from './routing-policies.js';
import type {RoutingScenario} from './routing-scenario.js';

const ENGINES = 12;
const ENTRIES = 6;
const DOMAINS = 3;
/** Length of a run. */
const RUN_MILLIS = 200_000;
/** First part of a run, which is not measured. */
const WARM_UP_MILLIS = 20_000;
/** Time between two samples of the engines' load. */
const SAMPLE_MILLIS = 250;
/** Length of a stall. */
const STALL_MILLIS = 3000;
/** Time left to the deadline of every request. */
const REMAINING_MILLIS = 30_000;

/** What one policy did in one scenario. */
export type RoutingFigures = Readonly<{
	scenario: string;
	name: string;
	requests: number;
	ttftMillisP50: number;
	ttftMillisP99: number;
	prefixHitShare: number;
	/** 95th percentile over time of the largest load of an engine over the mean load. */
	loadPeakOverMeanP95: number;
}>;

type Tally = {
	readonly ttftMillis: number[];
	readonly peaks: number[];
	promptTokens: number;
	cachedTokens: number;
};

type Model = Readonly<{
	loop: EventLoop;
	scenario: RoutingScenario;
	engines: readonly EngineModel[];
	routers: readonly EntryRouter[];
	tally: Tally;
}>;

function createModel(scenario: RoutingScenario, policy: RoutingPolicy, seed: number): Model {
	const loop = createEventLoop();
	const random = createSeededRandom(seed + 1);
	const placed = Array.from({length: ENGINES}, (_, i): PlacedEngine => ({agentId: `agent-${i}`, failureDomain: `domain-${i % DOMAINS}`}));
	const routers = Array.from({length: ENTRIES}, (_, entry) => policy.createRouter(loop.clock, placed, entry, seed));
	const engines = placed.map((_, i) => {
		const feed = createEngineFeed(loop, random);
		const engine = createEngineModel(loop, scenario.slowFactor(i), feed.noteCacheChange);
		feed.start(engine, routers.map(router => report => {
			router.noteReport(i, report);
		}));
		return engine;
	});

	return {
		loop, scenario, engines, routers, tally: {
			ttftMillis: [], peaks: [], promptTokens: 0, cachedTokens: 0,
		},
	};
}

/** What is drawn for one request, before it is known which engine serves it. */
type DrawnRequest = Readonly<{entry: number; prefixDigest: string | undefined; prefixTokens: number; promptTokens: number; outputTokens: number}>;

function createRequestSource(scenario: RoutingScenario, random: RandomSource): () => DrawnRequest {
	const zipf = createZipf(scenario.sharedPrefixes, 1, random);
	return () => {
		const entry = Math.floor(random() * ENTRIES);
		const isShared = random() < scenario.sharedShare;
		const prefix = zipf();
		const suffixTokens = 1 + Math.round(drawExponential(scenario.suffixTokens, random));
		const outputTokens = 1 + Math.round(drawExponential(scenario.outputTokens, random));
		return {
			entry,
			prefixDigest: isShared ? `prefix-${prefix}` : undefined,
			prefixTokens: isShared ? scenario.prefixTokens : 0,
			promptTokens: suffixTokens + (isShared ? scenario.prefixTokens : 0),
			outputTokens,
		};
	};
}

function toRoutingRequest(drawn: DrawnRequest, nowMillis: number): RoutingRequest {
	return {
		prefixes: drawn.prefixDigest === undefined ? [] : [{digest: drawn.prefixDigest, tokens: drawn.prefixTokens}],
		promptTokens: drawn.promptTokens,
		failureDomain: `domain-${drawn.entry % DOMAINS}`,
		priority: 0,
		remainingMillis: REMAINING_MILLIS,
		nowMillis,
	};
}

function send(model: Model, drawn: DrawnRequest): void {
	const startedAtMillis = model.loop.nowMillis();
	const routed = model.routers[drawn.entry]?.route(toRoutingRequest(drawn, startedAtMillis));
	if (!routed) {
		return;
	}

	model.engines[routed.engine]?.submit({
		...drawn,
		priority: 0,
		onFirstToken(cachedTokens) {
			routed.attempt.noteFirstToken();
			if (startedAtMillis >= WARM_UP_MILLIS) {
				model.tally.ttftMillis.push(model.loop.nowMillis() - startedAtMillis);
				model.tally.promptTokens += drawn.promptTokens;
				model.tally.cachedTokens += cachedTokens;
			}
		},
		onToken: routed.attempt.noteProgress,
		onEnd: routed.attempt.end,
	});
}

function startArrivals(model: Model, seed: number): void {
	const random = createSeededRandom(seed + 2);
	const draw = createRequestSource(model.scenario, random);
	const arrive = () => {
		send(model, draw());
		const rate = model.scenario.ratePerSecond(model.loop.nowMillis());
		model.loop.schedule(drawExponential(1000 / rate, random), arrive);
	};

	arrive();
}

function startStalls(model: Model, seed: number): void {
	const random = createSeededRandom(seed + 3);
	const stall = () => {
		model.engines[Math.floor(random() * ENGINES)]?.stall(model.loop.nowMillis() + STALL_MILLIS);
		model.loop.schedule(model.scenario.stallEveryMillis, stall);
	};

	if (Number.isFinite(model.scenario.stallEveryMillis)) {
		model.loop.schedule(model.scenario.stallEveryMillis, stall);
	}
}

function startSampling(model: Model): void {
	const sample = () => {
		const loads = model.engines.map(engine => {
			const load = engine.readLoad();
			return load.running + load.queued;
		});
		model.tally.peaks.push(Math.max(...loads) / Math.max(1, mean(loads)));
		model.loop.schedule(SAMPLE_MILLIS, sample);
	};

	model.loop.schedule(WARM_UP_MILLIS, sample);
}

/** Runs one policy in one scenario; the load depends on the seed only. */
export async function runRouting(scenario: RoutingScenario, policy: RoutingPolicy, seed: number): Promise<RoutingFigures> {
	const model = createModel(scenario, policy, seed);
	startArrivals(model, seed);
	startStalls(model, seed);
	startSampling(model);
	await model.loop.run(RUN_MILLIS);
	const {tally} = model;
	return {
		scenario: scenario.name,
		name: policy.name,
		requests: tally.ttftMillis.length,
		ttftMillisP50: round(quantile(tally.ttftMillis, 0.5), 1),
		ttftMillisP99: round(quantile(tally.ttftMillis, 0.99), 1),
		prefixHitShare: round(tally.cachedTokens / Math.max(1, tally.promptTokens), 3),
		loadPeakOverMeanP95: round(quantile(tally.peaks, 0.95)),
	};
}
