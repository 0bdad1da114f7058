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
/** Popularity that changes fast, so that maps are proposed while faults last. */
const DRIFT_STEPS = 60;
const PLAN_INTERVAL_MILLIS = 300;
const WEIGHT_LOADS_PER_SECOND = 200;
const MODEL_CALLS_PER_ROUND = 8;
const PLAIN_CALLS_PER_ROUND = 12;
const TOKENS_PER_ANSWER = 40;
/** Share of the calls that carry a binding. */
const BOUND_SHARE = 0.5;
const CREDENTIALS = ['workshop-santiago-credential', 'workshop-temuco-credential'] as const;

/** What a run of drawn faults showed. */
export type FaultSummary = Readonly<{
	seed: number;
	rounds: number;
	faults: Readonly<Record<string, number>>;
	calls: number;
	outcomes: Readonly<Record<string, number>>;
	/** Tries refused over all tries. */
	refusedShare: number;
	mapSwitches: number;
	/** Time that each switch of the expert map added to its step, faults included, in milliseconds. */
	switchPauseMillis: readonly number[];
	auditRecords: number;
	/** Time from each fault until a new call of each kind was answered, in milliseconds. */
	recoveryMillis: Readonly<Record<string, RecoverySummary>>;
	broken: readonly BrokenPromise[];
	/** Where settings and logs are kept when something is broken. */
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

/** One fault, two different ones, or one kind twice. */
function drawFaults(random: RandomSource): readonly FaultKind[] {
	const draw = () => {
		const kind = pickOne(FAULT_KINDS, random);
		invariant(kind, 'there are kinds of faults');
		return kind;
	};

	const first = draw();
	const form = Math.floor(random() * 3);
	const forms: ReadonlyArray<readonly FaultKind[]> = [[first], [first, draw()], [first, first]];
	return forms[form] ?? [first];
}

async function sendCalls(system: LocalSystem, round: number, random: RandomSource): Promise<readonly LoggedCall[]> {
	const pause = async () => systemClock.sleep(random() * FAULT_MAX_MILLIS);
	const answers = Array.from({length: MODEL_CALLS_PER_ROUND}, async (_, i) => {
		const worker = createWorker(system, random);
		await pause();
		return worker.ask(`round ${round}: fault ${i}`, TOKENS_PER_ANSWER);
	});
	const postings = Array.from({length: PLAIN_CALLS_PER_ROUND}, async (_, i) => {
		const credential = drawCredential(random);
		const worker = createWorker(system, random, credential);
		const isBound = random() < BOUND_SHARE;
		await pause();
		// A caller that grew impatient sends the same key through another connection at the same time.
		const [first, second] = await Promise.all([
			worker.postOnce(`round-${round}-${i}`, `reserve ${i}`, isBound),
			isBound ? undefined : createWorker(system, random, credential).postOnce(`round-${round}-${i}`, `reserve ${i}`, false),
		]);
		return second ? {...first, tries: [...first.tries, ...second.tries]} : first;
	});
	return Promise.all([...answers, ...postings]);
}

type Round = Readonly<{kinds: readonly FaultKind[]; calls: readonly LoggedCall[]; recoveryMillis: number}>;

type RoundPlan = Readonly<{round: number; kinds: readonly FaultKind[]; callRandom: RandomSource; probe: Probe}>;

async function runRound(ctx: FaultContext, {round, kinds, callRandom, probe}: RoundPlan): Promise<Round> {
	const {system, random} = ctx;
	const calls = sendCalls(system, round, callRandom);
	const lastsMillis = FAULT_MIN_MILLIS + (random() * (FAULT_MAX_MILLIS - FAULT_MIN_MILLIS));
	const active = [];
	for (const kind of kinds) {
		// The second fault comes while the first is there.
		// eslint-disable-next-line no-await-in-loop
		active.push(await kind.inject(ctx));
	}

	const begunMillis = systemClock.monotonicMillis();
	const recovered = probe.waitUntilAnswered();
	await systemClock.sleep(lastsMillis);
	for (const fault of active) {
		// eslint-disable-next-line no-await-in-loop
		await fault.heal();
	}

	const answeredAt = await recovered;
	return {kinds, calls: await calls, recoveryMillis: answeredAt - begunMillis};
}

async function applyFirstTargets(system: LocalSystem): Promise<void> {
	const run = await runTool('apply', TARGETS_FILE, '--entry', system.entries.map(entry => entry.operatorUrl).join(','));
	invariant(run.exitCode === 0, `the first targets are accepted: ${run.text}`);
	await system.waitAllReady();
}

/** Runs drawn faults against the whole path. The draws depend on the seed alone. */
export async function runFaults(seed: number, roundCount: number, say: (line: string) => void): Promise<FaultSummary> {
	const random = createSeededRandom(seed);
	const system = await startLocalSystem({
		...DEFAULT_SYSTEM, entries: 3, plains: 2, seed, withRelays: true, driftSteps: DRIFT_STEPS, planIntervalMillis: PLAN_INTERVAL_MILLIS, weightLoadsPerSecond: WEIGHT_LOADS_PER_SECOND,
	});
	await applyFirstTargets(system);
	const watch = watchVersions([...system.entries, ...system.engineAgents, ...system.plainAgents]);
	const reported: string[] = [];
	const ctx: FaultContext = {
		system,
		random,
		report(breach) {
			reported.push(breach);
		},
	};
	// Callers run at the same time and draw in any order, so they have a source of their own.
	const callRandom = createSeededRandom(seed + 1);
	const probe = createProbe(createWorker(system, callRandom));
	const rounds: Round[] = [];
	for (let i = 0; i < roundCount; i++) {
		// Rounds follow each other, each against a system that works.
		const kinds = drawFaults(random);
		say(`round ${i}: ${kinds.map(kind => kind.name).join(' + ')}`);
		// eslint-disable-next-line no-await-in-loop
		const round = await runRound(ctx, {
			round: i, kinds, callRandom, probe,
		});
		rounds.push(round);
		say(`round ${i}: new work after ${Math.round(round.recoveryMillis)} ms`);
		// eslint-disable-next-line no-await-in-loop
		await watch.look();
	}

	const calls = [...rounds.flatMap(round => round.calls), ...probe.calls()];
	const [group, ...plains] = await Promise.all([system.rankGroup, ...system.plains].map(async standIn => standIn.readRecords()));
	const end = await system.close(async () => {
		const run = await runTool('audit', 'verify', '--objects', system.objects.url);
		return parseAuditReport(run.output);
	});
	const outcomes = countOutcomes(calls);
	const {broken, mapSwitches, switchPauseMillis} = judgeRun({
		calls, group, plains, audit: end.beforePlatformEnds, badEnds: end.badEnds, reverted: watch.reverted(), reported,
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
		auditRecords: end.beforePlatformEnds.records,
		recoveryMillis: summarizeRecovery(rounds.flatMap(round => round.kinds.map(kind => ({name: kind.name, millis: round.recoveryMillis})))),
		broken,
		dir: broken.length > 0 ? system.dir : '',
	};
}
