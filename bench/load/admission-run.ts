import type {Admission, Admitted} from '../../src/decisions/admission/admission-request.js';
import {createSeededRandom, type RandomSource} from '../../src/decisions/random.js';
import type {WorkClass} from '../../src/targets/targets.js';
import type {AdmissionPolicy} from './admission-policies.js';
import {workClasses, type AdmissionScenario} from './admission-scenario.js';
import {
	computeClassFigures,
	computeFirstReturnServedShare,
	computeGoodput,
	computeRefusalWaitP99,
	computeRefusedOnArrivalShare,
	computeRefusedShare,
	computeRetryAfterSeconds,
	computeReturnDispersion,
	type ClassFigures,
	type TryRecord,
} from './admission-figures.js';
import {drawExponential} from './distributions.js';
import {drawOutputTokens, drawPromptTokens, ENGINE_COUNT} from './measure-engine-capacity.js';
import {createEngineFeed, type DeliveredReport} from './engine-feed.js';
import {createEngineModel, type EngineModel} from './engine-model.js';
import {createEventLoop, type EventLoop} from './event-loop.js';
import {routingPolicies, type EngineIdentity, type EntryRouter} from './routing-policies.js';

const ENTRY_COUNT = 6;
const ACCOUNT_COUNT = 10;
const LARGE_ACCOUNT = 'account-0';
/** Initial part of a run that is excluded from the figures. */
const WARM_UP_MILLIS = 40_000;

/** Figures of one policy in one scenario. */
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

type SimulatedRequest = Readonly<{
	account: string;
	workClass: WorkClass;
	promptTokens: number;
	outputTokens: number;
	tryNumber: number;
	arrivedAtMillis: number;
}>;

type Entry = Readonly<{admission: Pick<Admission, 'enqueue' | 'noteServiceLoad'>; router: EntryRouter; noteReport: (engine: number, report: DeliveredReport) => void}>;

type Simulation = Readonly<{
	loop: EventLoop;
	scenario: AdmissionScenario;
	engines: readonly EngineModel[];
	entries: readonly Entry[];
	random: RandomSource;
	records: TryRecord[];
}>;

type EntryOptions = Readonly<{loop: EventLoop; policy: AdmissionPolicy; engines: readonly EngineIdentity[]; index: number; seed: number}>;

function createEntry({loop, policy, engines, index, seed}: EntryOptions): Entry {
	const router = routingPolicies.find(candidate => candidate.name === 'pollenport')?.createRouter(loop.clock, engines, index, seed);
	if (!router) {
		throw new Error('no routing policy is named pollenport');
	}

	const admission = policy.createAdmission({clock: loop.clock, random: createSeededRandom(seed + 100 + index)});
	const latestReports = new Map<number, Readonly<{report: DeliveredReport; measuredAtMillis: number}>>();
	return {
		admission,
		router,
		noteReport(engine, report) {
			router.noteReport(engine, report);
			latestReports.set(engine, {report, measuredAtMillis: loop.nowMillis() - report.ageMillis});
			let running = 0;
			let queued = 0;
			let ageMillis = 0;
			for (const item of latestReports.values()) {
				running += item.report.load.running;
				queued += item.report.load.queued;
				ageMillis += (loop.nowMillis() - item.measuredAtMillis) / latestReports.size;
			}

			admission.noteServiceLoad('model', {
				running, queued, backendServers: engines.length, ageMillis,
			});
		},
	};
}

function createSimulation(scenario: AdmissionScenario, policy: AdmissionPolicy, seed: number): Simulation {
	const loop = createEventLoop();
	const random = createSeededRandom(seed + 1);
	const engineIdentities = Array.from({length: ENGINE_COUNT}, (_, i): EngineIdentity => ({agentId: `agent-${i}`, failureDomain: `domain-${i % 3}`}));
	const entries = Array.from({length: ENTRY_COUNT}, (_, i) => createEntry({
		loop, policy, engines: engineIdentities, index: i, seed,
	}));
	const engines = engineIdentities.map((_, i) => {
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

function drawRequest(scenario: AdmissionScenario, nowMillis: number, random: RandomSource): SimulatedRequest {
	const smallAccount = 1 + Math.floor(random() * (ACCOUNT_COUNT - 1));
	const account = random() < scenario.largeAccountShare ? LARGE_ACCOUNT : `account-${smallAccount}`;
	let remainingShare = random();
	const chosenClass = workClasses.find(({share}) => {
		remainingShare -= share;
		return remainingShare < 0;
	}) ?? workClasses[0];
	if (!chosenClass) {
		throw new Error('the admission experiment defines no work class');
	}

	return {
		account,
		workClass: chosenClass.workClass,
		promptTokens: drawPromptTokens(random),
		outputTokens: drawOutputTokens(random),
		tryNumber: 1,
		arrivedAtMillis: nowMillis,
	};
}

function dispatch(simulation: Simulation, entry: Entry, req: SimulatedRequest, admitted: Admitted): void {
	const {loop} = simulation;
	const {arrivedAtMillis} = req;
	const routed = entry.router.route({
		prefixes: [],
		promptTokens: req.promptTokens,
		failureDomain: '',
		priority: req.workClass.priority,
		remainingMillis: req.workClass.deadlineMillis,
		nowMillis: loop.nowMillis(),
	});
	simulation.engines[routed.engine]?.submit({
		prefixDigest: undefined,
		prefixTokens: 0,
		promptTokens: req.promptTokens,
		outputTokens: req.outputTokens,
		// Admission has already ordered the requests; strict priority order in the engines would starve the lowest class.
		priority: 0,
		onFirstToken() {
			const ttftMillis = loop.nowMillis() - arrivedAtMillis;
			admitted.noteFirstByte();
			routed.attempt.noteFirstToken();
			simulation.records.push({
				...toTryRecordBase(req),
				outcome: {tag: 'answered', ttftMillis, isLate: ttftMillis > req.workClass.lateAfterMillis},
			});
		},
		onToken: routed.attempt.noteProgress,
		onEnd() {
			routed.attempt.end();
			admitted.release();
		},
	});
}

function toTryRecordBase(req: SimulatedRequest): Omit<TryRecord, 'outcome'> {
	return {
		atMillis: req.arrivedAtMillis, account: req.account, workClass: req.workClass.name, tryNumber: req.tryNumber,
	};
}

function send(simulation: Simulation, req: SimulatedRequest): void {
	const {loop} = simulation;
	const entry = simulation.entries[Math.floor(simulation.random() * ENTRY_COUNT)];
	entry?.admission.enqueue({account: req.account, workClass: req.workClass, remainingMillis: req.workClass.deadlineMillis}, decision => {
		if (decision.tag === 'admitted') {
			dispatch(simulation, entry, req, decision);
			return;
		}

		const {retryAfterMillis} = decision;
		simulation.records.push({...toTryRecordBase(req), outcome: {tag: 'refused', waitedMillis: loop.nowMillis() - req.arrivedAtMillis, retryAfterMillis}});
		if (simulation.scenario.shouldRetryWhenRefused) {
			loop.schedule(retryAfterMillis, () => {
				send(simulation, {...req, tryNumber: req.tryNumber + 1, arrivedAtMillis: loop.nowMillis()});
			});
		}
	});
}

function startArrivals(simulation: Simulation, capacityPerSecond: number, seed: number): void {
	const random = createSeededRandom(seed + 3);
	const handleArrival = () => {
		send(simulation, drawRequest(simulation.scenario, simulation.loop.nowMillis(), random));
		const rate = simulation.scenario.loadFactor(simulation.loop.nowMillis()) * capacityPerSecond;
		simulation.loop.schedule(drawExponential(1000 / rate, random), handleArrival);
	};

	handleArrival();
}

/** Runs one policy in one scenario; the load depends on the seed only. */
export async function runAdmission(scenario: AdmissionScenario, policy: AdmissionPolicy, capacityPerSecond: number, seed: number): Promise<AdmissionFigures> {
	const simulation = createSimulation(scenario, policy, seed);
	startArrivals(simulation, capacityPerSecond, seed);
	await simulation.loop.run(scenario.runMillis);
	const measuredMillis = scenario.runMillis - WARM_UP_MILLIS;
	const records = simulation.records.filter(record => record.atMillis >= WARM_UP_MILLIS);
	return {
		scenario: scenario.name,
		name: policy.name,
		offeredPerSecond: Math.round((records.filter(record => record.tryNumber === 1).length * 1000) / measuredMillis),
		goodputPerSecond: computeGoodput(records, measuredMillis),
		classes: computeClassFigures(records),
		largeAccountRefusedShare: computeRefusedShare(records, account => account === LARGE_ACCOUNT),
		smallAccountsRefusedShare: computeRefusedShare(records, account => account !== LARGE_ACCOUNT),
		firstReturnServedShare: computeFirstReturnServedShare(records),
		returnDispersion: computeReturnDispersion(records, scenario.runMillis / 2, scenario.runMillis),
		retryAfterSeconds: computeRetryAfterSeconds(records),
		refusedOnArrivalShare: computeRefusedOnArrivalShare(records),
		refusalWaitMillisP99: computeRefusalWaitP99(records),
	};
}
