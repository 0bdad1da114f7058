import {invariant} from '../../src/core/invariant.js';
import {systemClock} from '../../src/core/system-clock.js';
import {createSeededRandom, pickOne, type RandomSource} from '../../src/decisions/random.js';
import {parseAuditReport} from '../system/audit-summary.js';
import {allTries, countOutcomes, type LoggedCall} from '../system/call-log.js';
import {countNames} from '../system/count-names.js';
import {createCallWorker, type CallWorker} from '../system/call-worker.js';
import {startLocalSystem, type LocalSystem} from '../system/local-system.js';
import {runTool} from '../system/run-tool.js';
import {DEFAULT_SYSTEM} from '../system/system-options.js';
import {watchVersions} from '../system/version-watch.js';
import {TARGETS_FILE} from '../system/targets-file.js';
import {createProbe, type Probe} from './probe.js';
import {judgeRun, type BrokenPromise} from './judge-run.js';
import {networkFaults} from './network-faults.js';
import {operatorFaults} from './operator-faults.js';
import {platformFaults} from './platform-faults.js';
import {processFaults} from './process-faults.js';
import {summarizeRecovery, type RecoverySummary} from './recovery-summary.js';
import type {FaultContext, FaultKind} from './fault.js';

/** All kinds of faults. */
export const FAULT_KINDS: readonly FaultKind[] = [...processFaults, ...networkFaults, ...platformFaults, ...operatorFaults];

/** Shortest and longest time a fault lasts, in milliseconds. */
const FAULT_MIN_MILLIS = 400;
const FAULT_MAX_MILLIS = 1600;
/** Steps between two changes of the popularity of the experts; few, so that maps are proposed while faults are active. */
const FAST_DRIFT_STEPS = 60;
const PLAN_INTERVAL_MILLIS = 300;
const WEIGHT_LOADS_PER_SECOND = 200;
const MODEL_CALLS_PER_ROUND = 8;
const PLAIN_CALLS_PER_ROUND = 12;
const TOKENS_PER_ANSWER = 40;
/** Share of the calls that carry a binding. */
const BOUND_SHARE = 0.5;
const CREDENTIALS = ['workshop-santiago-credential', 'workshop-temuco-credential'] as const;

/** Summary of a run with randomly drawn faults. */
export type FaultSummary = Readonly<{
	seed: number;
	rounds: number;
	faults: Readonly<Record<string, number>>;
	calls: number;
	outcomes: Readonly<Record<string, number>>;
	/** Share of all tries that ended as "not run". */
	refusedShare: number;
	mapSwitches: number;
	/** Time that each switch of the expert map added to its step, faults included, in milliseconds. */
	switchPauseMillis: readonly number[];
	auditRecords: number;
	/** Time from each fault until a new call of each kind was answered, in milliseconds. */
	recoveryMillis: Readonly<Record<string, RecoverySummary>>;
	broken: readonly BrokenPromise[];
	/** Directory of the settings and logs, kept when a promise was broken; else empty. */
	dir: string;
}>;

function drawCredential(random: RandomSource): string {
	return pickOne(CREDENTIALS, random) ?? CREDENTIALS[0];
}

function createWorker(system: LocalSystem, random: RandomSource, credential: string = drawCredential(random)): CallWorker {
	return createCallWorker({
		entryUrls: system.entries.map(entry => entry.instance.callerUrl),
		credential,
		modelService: system.options.modelService,
		modelClass: 'diagnosis',
		plainService: system.options.plainService,
		plainClass: 'booking',
		random,
	});
}

/** Draws one fault, two independent ones, or one kind twice. */
function drawFaults(random: RandomSource): readonly FaultKind[] {
	const draw = () => {
		const kind = pickOne(FAULT_KINDS, random);
		invariant(kind, 'no kinds of faults are defined');
		return kind;
	};

	const first = draw();
	const choice = Math.floor(random() * 3);
	const combinations: ReadonlyArray<readonly FaultKind[]> = [[first], [first, draw()], [first, first]];
	return combinations[choice] ?? [first];
}

async function sendCalls(system: LocalSystem, round: number, random: RandomSource): Promise<readonly LoggedCall[]> {
	const waitRandomly = async () => systemClock.sleep(random() * FAULT_MAX_MILLIS);
	const modelCalls = Array.from({length: MODEL_CALLS_PER_ROUND}, async (_, i) => {
		const worker = createWorker(system, random);
		await waitRandomly();
		return worker.askModel(`round ${round}: fault ${i}`, TOKENS_PER_ANSWER);
	});
	const plainCalls = Array.from({length: PLAIN_CALLS_PER_ROUND}, async (_, i) => {
		const credential = drawCredential(random);
		const worker = createWorker(system, random, credential);
		const isBound = random() < BOUND_SHARE;
		await waitRandomly();
		// An unbound call is also sent by a second caller, concurrently and with the same key.
		const [first, second] = await Promise.all([
			worker.callPlainService(`round-${round}-${i}`, `reserve ${i}`, isBound),
			isBound ? undefined : createWorker(system, random, credential).callPlainService(`round-${round}-${i}`, `reserve ${i}`, false),
		]);
		return second ? {...first, tries: [...first.tries, ...second.tries]} : first;
	});
	return Promise.all([...modelCalls, ...plainCalls]);
}

type Round = Readonly<{kinds: readonly FaultKind[]; calls: readonly LoggedCall[]; recoveryMillis: number | undefined}>;

type RoundPlan = Readonly<{round: number; kinds: readonly FaultKind[]; callRandom: RandomSource; probe: Probe}>;

async function runRound(ctx: FaultContext, {round, kinds, callRandom, probe}: RoundPlan): Promise<Round> {
	const {system, random} = ctx;
	const calls = sendCalls(system, round, callRandom);
	const durationMillis = FAULT_MIN_MILLIS + (random() * (FAULT_MAX_MILLIS - FAULT_MIN_MILLIS));
	const activeFaults = [];
	for (const kind of kinds) {
		// The second fault is injected while the first is active.
		// eslint-disable-next-line no-await-in-loop
		activeFaults.push(await kind.inject(ctx));
	}

	const injectedAtMillis = systemClock.monotonicMillis();
	const recovered = probe.waitUntilAnswered();
	await systemClock.sleep(durationMillis);
	for (const fault of activeFaults) {
		// eslint-disable-next-line no-await-in-loop
		await fault.heal();
	}

	const answeredAtMillis = await recovered;
	return {kinds, calls: await calls, recoveryMillis: answeredAtMillis === undefined ? undefined : answeredAtMillis - injectedAtMillis};
}

async function applyInitialTargets(system: LocalSystem): Promise<void> {
	const run = await runTool('apply', TARGETS_FILE, '--entry', system.entries.map(entry => entry.operatorUrl).join(','));
	invariant(run.exitCode === 0, `the initial targets were not accepted: ${run.text}`);
	await system.waitAllReady();
}

/** Runs rounds of randomly drawn faults against a complete local system. The draws depend on the seed alone. */
export async function runFaults(seed: number, roundCount: number, printLine: (line: string) => void): Promise<FaultSummary> {
	const random = createSeededRandom(seed);
	const system = await startLocalSystem({
		...DEFAULT_SYSTEM, entries: 3, plainServices: 2, seed, withRelays: true, driftSteps: FAST_DRIFT_STEPS, planIntervalMillis: PLAN_INTERVAL_MILLIS, weightLoadsPerSecond: WEIGHT_LOADS_PER_SECOND,
	});
	await applyInitialTargets(system);
	const watch = watchVersions([...system.entries, ...system.engineAgents, ...system.plainAgents]);
	const reportedBreaches: string[] = [];
	const ctx: FaultContext = {
		system,
		random,
		reportBreach(breach) {
			reportedBreaches.push(breach);
		},
	};
	// Callers run concurrently and draw in any order; a random source of their own keeps the draws of faults reproducible.
	const callRandom = createSeededRandom(seed + 1);
	const probe = createProbe(createWorker(system, callRandom));
	const rounds: Round[] = [];
	for (let i = 0; i < roundCount; i++) {
		// Rounds run one after the other, each against a system that has recovered.
		const kinds = drawFaults(random);
		printLine(`round ${i}: ${kinds.map(kind => kind.name).join(' + ')}`);
		// eslint-disable-next-line no-await-in-loop
		const round = await runRound(ctx, {
			round: i, kinds, callRandom, probe,
		});
		rounds.push(round);
		if (round.recoveryMillis === undefined) {
			reportedBreaches.push(`recovery: new calls were not answered after round ${i}`);
			printLine(`round ${i}: new calls were not answered`);
		} else {
			printLine(`round ${i}: new calls answered after ${Math.round(round.recoveryMillis)} ms`);
		}

		// eslint-disable-next-line no-await-in-loop
		await watch.poll();
	}

	const calls = [...rounds.flatMap(round => round.calls), ...probe.calls()];
	const [group, ...plainServiceRecords] = await Promise.all([system.rankGroup, ...system.plainServices].map(async standIn => standIn.readRecords()));
	const shutdown = await system.close(async () => {
		const run = await runTool('audit', 'verify', '--objects', system.objects.url);
		return parseAuditReport(run.output);
	});
	const outcomes = countOutcomes(calls);
	const {broken, mapSwitches, switchPauseMillis} = judgeRun({
		calls, group, plainServiceRecords, audit: shutdown.callbackResult, uncleanExits: shutdown.uncleanExits, revertedDaemons: watch.revertedDaemons(), reportedBreaches,
	});
	return {
		seed,
		rounds: rounds.length,
		faults: countNames(rounds.flatMap(({kinds}) => kinds.map(({name}) => name))),
		calls: calls.length,
		outcomes,
		refusedShare: (outcomes.not_run ?? 0) / Math.max(1, allTries(calls).length),
		mapSwitches,
		switchPauseMillis,
		auditRecords: shutdown.callbackResult.records,
		recoveryMillis: summarizeRecovery(rounds.flatMap(round => round.kinds.flatMap(({name}) => round.recoveryMillis === undefined ? [] : [{name, millis: round.recoveryMillis}]))),
		broken,
		dir: broken.length > 0 ? system.dir : '',
	};
}
