import type {Admission, Admitted} from '../../src/decisions/admission/admission-request.js';
import {createSeededRandom, type RandomSource} from '../../src/decisions/random.js';
import type {WorkClass} from '../../src/targets/targets.js';
import type {AdmissionPolicy} from './admission-policies.js';
import {workClasses, type AdmissionScenario} from './admission-scenario.js';
import {
	computeClassFigures,
	computeFirstReturnShare,
	computeGoodput,
	computeRefusalWaitP99,
	computeRefusedOnArrivalShare,
	computeRefusedShare,
	computeRetryAfterSeconds,
	computeReturnDispersion,
	type ClassFigures,
	type TryRecord,
} from './admission-tally.js';
import {drawExponential} from './distributions.js';
import {drawOutputTokens, drawPromptTokens, ENGINES} from './measure-capacity.js';
import {createEngineFeed, type DeliveredReport} from './engine-feed.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createEventLoop, type EventLoop} from './event-loop.js';
import {routingPolicies, type EntryRouter, type PlacedEngine} from './routing-policies.js';

const ENTRIES = 6;
const ACCOUNTS = 10;
const LARGE_ACCOUNT = 'account-0';
/** First part of a run, which is not measured. */
const WARM_UP_MILLIS = 40_000;
/** What one policy did in one scenario. */
export type AdmissionFigures = Readonly<{
	scenario: string;
	name: string;
	offeredPerSecond: number;
	goodputPerSecond: number;
	classes: readonly ClassFigures[];
	largeAccountRefusedShare: number;
	smallAccountsRefusedShare: number;
	firstReturnServedShare: number;
	returnDispersion: number;
	/** 5th, 50th and 95th percentile. */
	retryAfterSeconds: readonly number[];
	refusedOnArrivalShare: number;
	refusalWaitMillisP99: number;
}>;

type Caller = Readonly<{
	account: string;
	workClass: WorkClass;
	promptTokens: number;
	outputTokens: number;
	tries: number;
	arrivedAtMillis: number;
}>;

type Entry = Readonly<{admission: Pick<Admission, 'enqueue' | 'noteServiceLoad'>; router: EntryRouter; noteReport: (engine: number, report: DeliveredReport) => void}>;

type Model = Readonly<{
	loop: EventLoop;
	scenario: AdmissionScenario;
	engines: readonly EngineModel[];
	entries: readonly Entry[];
	random: RandomSource;
	records: TryRecord[];
}>;

type EntryOptions = Readonly<{loop: EventLoop; policy: AdmissionPolicy; placed: readonly PlacedEngine[]; index: number; seed: number}>;

function createEntry({loop, policy, placed, index, seed}: EntryOptions): Entry {
	const router = routingPolicies.find(candidate => candidate.name === 'pollenport')?.createRouter(loop.clock, placed, index, seed);
	if (!router) {
		throw new Error('the routing policy is missing');
	}

	const admission = policy.createAdmission({clock: loop.clock, random: createSeededRandom(seed + 100 + index)});
	const latest = new Map<number, Readonly<{report: DeliveredReport; measuredAtMillis: number}>>();
	return {
		admission,
		router,
		noteReport(engine, report) {
			router.noteReport(engine, report);
			latest.set(engine, {report, measuredAtMillis: loop.nowMillis() - report.ageMillis});
			let running = 0;
			let queued = 0;
			let ageMillis = 0;
			for (const item of latest.values()) {
				running += item.report.load.running;
				queued += item.report.load.queued;
				ageMillis += (loop.nowMillis() - item.measuredAtMillis) / latest.size;
			}

			admission.noteServiceLoad('model', {
				running, queued, backendServers: placed.length, ageMillis,
			});
		},
	};
}

function createModel(scenario: AdmissionScenario, policy: AdmissionPolicy, seed: number): Model {
	const loop = createEventLoop();
	const random = createSeededRandom(seed + 1);
	const placed = Array.from({length: ENGINES}, (_, i): PlacedEngine => ({agentId: `agent-${i}`, failureDomain: `domain-${i % 3}`}));
	const entries = Array.from({length: ENTRIES}, (_, i) => createEntry({
		loop, policy, placed, index: i, seed,
	}));
	const engines = placed.map((_, i) => {
		const feed = createEngineFeed(loop, random);
		const engine = createEngineModel(loop, 1, feed.noteCacheChange);
		feed.start(engine, entries.map(entry => report => {
			entry.noteReport(i, report);
		}));
		return engine;
	});
	return {
		loop, scenario, engines, entries, random: createSeededRandom(seed + 2), records: [],
	};
}

function drawCaller(scenario: AdmissionScenario, nowMillis: number, random: RandomSource): Caller {
	const other = 1 + Math.floor(random() * (ACCOUNTS - 1));
	const account = random() < scenario.largeAccountShare ? LARGE_ACCOUNT : `account-${other}`;
	let left = random();
	const drawn = workClasses.find(({share}) => {
		left -= share;
		return left < 0;
	}) ?? workClasses[0];
	if (!drawn) {
		throw new Error('there is no class of work');
	}

	return {
		account,
		workClass: drawn.workClass,
		promptTokens: drawPromptTokens(random),
		outputTokens: drawOutputTokens(random),
		tries: 1,
		arrivedAtMillis: nowMillis,
	};
}

function dispatch(model: Model, entry: Entry, caller: Caller, admitted: Admitted): void {
	const {loop} = model;
	const {arrivedAtMillis} = caller;
	const routed = entry.router.route({
		prefixes: [],
		promptTokens: caller.promptTokens,
		failureDomain: '',
		priority: caller.workClass.priority,
		remainingMillis: caller.workClass.deadlineMillis,
		nowMillis: loop.nowMillis(),
	});
	model.engines[routed.engine]?.submit({
		prefixDigest: undefined,
		prefixTokens: 0,
		promptTokens: caller.promptTokens,
		outputTokens: caller.outputTokens,
		// Admission has put the requests in order; the engines' own strict order would starve the lowest class.
		priority: 0,
		onFirstToken() {
			const ttftMillis = loop.nowMillis() - arrivedAtMillis;
			admitted.noteFirstByte();
			routed.attempt.noteFirstToken();
			model.records.push({
				...toTry(caller),
				result: {tag: 'answered', ttftMillis, isLate: ttftMillis > caller.workClass.lateAfterMillis},
			});
		},
		onToken: routed.attempt.noteProgress,
		onEnd() {
			routed.attempt.end();
			admitted.release();
		},
	});
}

function toTry(caller: Caller): Omit<TryRecord, 'result'> {
	return {
		atMillis: caller.arrivedAtMillis, account: caller.account, workClass: caller.workClass.name, tries: caller.tries,
	};
}

function call(model: Model, caller: Caller): void {
	const {loop} = model;
	const entry = model.entries[Math.floor(model.random() * ENTRIES)];
	entry?.admission.enqueue({account: caller.account, workClass: caller.workClass, remainingMillis: caller.workClass.deadlineMillis}, decision => {
		if (decision.tag === 'admitted') {
			dispatch(model, entry, caller, decision);
			return;
		}

		const {retryAfterMillis} = decision;
		model.records.push({...toTry(caller), result: {tag: 'refused', waitedMillis: loop.nowMillis() - caller.arrivedAtMillis, retryAfterMillis}});
		if (model.scenario.returns) {
			loop.schedule(retryAfterMillis, () => {
				call(model, {...caller, tries: caller.tries + 1, arrivedAtMillis: loop.nowMillis()});
			});
		}
	});
}

function startArrivals(model: Model, capacityPerSecond: number, seed: number): void {
	const random = createSeededRandom(seed + 3);
	const arrive = () => {
		call(model, drawCaller(model.scenario, model.loop.nowMillis(), random));
		const rate = model.scenario.loadFactor(model.loop.nowMillis()) * capacityPerSecond;
		model.loop.schedule(drawExponential(1000 / rate, random), arrive);
	};

	arrive();
}

/** Runs one policy in one scenario; the load depends on the seed only. */
export async function runAdmission(scenario: AdmissionScenario, policy: AdmissionPolicy, capacityPerSecond: number, seed: number): Promise<AdmissionFigures> {
	const model = createModel(scenario, policy, seed);
	startArrivals(model, capacityPerSecond, seed);
	await model.loop.run(scenario.runMillis);
	const measuredMillis = scenario.runMillis - WARM_UP_MILLIS;
	const records = model.records.filter(record => record.atMillis >= WARM_UP_MILLIS);
	return {
		scenario: scenario.name,
		name: policy.name,
		offeredPerSecond: Math.round((records.filter(record => record.tries === 1).length * 1000) / measuredMillis),
		goodputPerSecond: computeGoodput(records, measuredMillis),
		classes: computeClassFigures(records),
		largeAccountRefusedShare: computeRefusedShare(records, account => account === LARGE_ACCOUNT),
		smallAccountsRefusedShare: computeRefusedShare(records, account => account !== LARGE_ACCOUNT),
		firstReturnServedShare: computeFirstReturnShare(records),
		returnDispersion: computeReturnDispersion(records, scenario.runMillis / 2, scenario.runMillis),
		retryAfterSeconds: computeRetryAfterSeconds(records),
		refusedOnArrivalShare: computeRefusedOnArrivalShare(records),
		refusalWaitMillisP99: computeRefusalWaitP99(records),
	};
}
