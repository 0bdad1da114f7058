import {readFile, writeFile} from 'node:fs/promises';
import path from 'node:path';
import {invariant} from '../../src/core/invariant.js';
import {systemClock} from '../../src/core/system-clock.js';
import {parseAuditReport, type AuditSummary} from '../system/audit-summary.js';
import {allTries, type LoggedCall} from '../system/call-log.js';
import {createCallWorker, type CallWorker} from '../system/call-worker.js';
import {fetchAddresses} from '../system/caller.js';
import {
	countSwitches,
	findDuplicateKeys,
	judgeAnswers,
	judgeAtMostOnce,
	judgeExpertMaps,
	judgeNotRun,
	listSwitchPauses,
	parseGroupRecords,
	parsePlainRecords,
	type Evidence,
} from '../system/evidence.js';
import {startLocalSystem, type LocalSystem} from '../system/local-system.js';
import {runTool} from '../system/run-tool.js';
import {DEFAULT_SYSTEM} from '../system/system-options.js';
import {TARGETS_FILE} from '../system/targets-file.js';
import {watchVersions, type VersionWatch} from '../system/version-watch.js';

const CREDENTIAL = 'workshop-santiago-credential';
const MODEL_CALLS = 24;
const PLAIN_CALLS = 30;
const TOKENS_PER_ANSWER = 60;
/** Longest wait for a switch of the expert map, in milliseconds. */
const SWITCH_TIMEOUT_MILLIS = 20_000;
const SWITCH_POLL_MILLIS = 200;
/** Longest wait until a version is in force in every daemon, in milliseconds. */
const VERSION_TIMEOUT_MILLIS = 8000;

/** Summary that the demo prints. */
export type DemoSummary = Readonly<{
	requests: number;
	answered: number;
	notRun: number;
	unknown: number;
	duplicates: number;
	mixedMapSteps: number;
	mapSwitches: number;
	/** Time that each switch of the expert map added to its step, in milliseconds. */
	switchPauseMillis: readonly number[];
	meanSkew: number;
	processes: number;
	promises: readonly Evidence[];
}>;

function printProgress(text: string): void {
	console.log(`demo: ${text}`);
}

async function applyTargets(system: LocalSystem, file: string): Promise<number> {
	const urls = system.entries.map(entry => entry.operatorUrl).join(',');
	const run = await runTool('apply', file, '--entry', urls);
	invariant(run.exitCode === 0, `pollenport apply ${file} failed: ${run.text}`);
	const version: unknown = Reflect.get(new Object(run.output), 'version');
	invariant(typeof version === 'number', 'pollenport apply reported no version');
	return version;
}

/** Applies the targets with another `late_after_millis`. */
async function applyChangedTargets(system: LocalSystem): Promise<number> {
	const text = await readFile(TARGETS_FILE, 'utf8');
	const file = path.join(system.dir, 'changed-targets.toml');
	await writeFile(file, text.replace('late_after_millis = 540', 'late_after_millis = 600'));
	return applyTargets(system, file);
}

function createWorker(system: LocalSystem): CallWorker {
	return createCallWorker({
		entryUrls: system.entries.map(entry => entry.instance.callerUrl),
		credential: CREDENTIAL,
		modelService: system.options.modelService,
		modelClass: 'diagnosis',
		plainService: system.options.plainService,
		plainClass: 'booking',
		random: Math.random,
	});
}

async function sendCalls(system: LocalSystem, round: string): Promise<readonly LoggedCall[]> {
	const modelCalls = Array.from({length: MODEL_CALLS}, async (_, i) => createWorker(system).askModel(`${round}: why does scooter ${i} stall?`, TOKENS_PER_ANSWER));
	const plainCalls = Array.from({length: PLAIN_CALLS}, async (_, i) => createWorker(system).callPlainService(`${round}-${i}`, `reserve battery ${i}`, i % 2 === 0));
	return Promise.all([...modelCalls, ...plainCalls]);
}

/** Sends the keys of the unbound plain calls once more through another caller; each must get the first answer again, without a second execution. */
async function repeatPlainCalls(system: LocalSystem, calls: readonly LoggedCall[]): Promise<readonly LoggedCall[]> {
	const plain = calls.flatMap(call => call.kind === 'plain' && !call.isBound ? [call] : []);
	return Promise.all(plain.map(async call => createWorker(system).callPlainService(call.key, call.body, false)));
}

/** Waits until the records of the ranks show a switch of the expert map; false if there is none within the timeout. */
async function waitForSwitch(system: LocalSystem): Promise<boolean> {
	const deadline = systemClock.monotonicMillis() + SWITCH_TIMEOUT_MILLIS;
	while (systemClock.monotonicMillis() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		const group = parseGroupRecords(await system.rankGroup.readRecords());
		if (countSwitches(group) > 0) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await systemClock.sleep(SWITCH_POLL_MILLIS);
	}

	return false;
}

type StopEvidence = Readonly<{leaving: Evidence; stop: Evidence; calls: readonly LoggedCall[]}>;

/** Plans the stop of an entry and stops it under load. */
async function stopEntryUnderLoad(system: LocalSystem): Promise<StopEvidence> {
	const stoppedEntry = system.entries.at(-1);
	const remainingEntry = system.entries[0];
	invariant(stoppedEntry && remainingEntry && stoppedEntry !== remainingEntry, 'the demo needs two entries');
	const pendingCalls = sendCalls(system, 'stop');
	const plan = await runTool('stop', 'plan', '--instance', stoppedEntry.instance.id, '--entry', remainingEntry.operatorUrl);
	const answer = await fetchAddresses(remainingEntry.instance.callerUrl, CREDENTIAL);
	const isListed = answer?.addresses.some(address => address.url === stoppedEntry.instance.callerUrl) ?? true;
	stoppedEntry.signal('SIGTERM');
	const [calls, end] = await Promise.all([pendingCalls, stoppedEntry.waitEnd()]);
	const cutTries = allTries(calls).filter(({outcome}) => outcome.tag === 'cut' || outcome.tag === 'disconnected');
	return {
		calls,
		leaving: {
			name: 'leaving_gets_no_new_work',
			held: plan.exitCode === 0 && !isListed,
			detail: `planned stop: exit code ${plan.exitCode}; the leaving entry is ${isListed ? 'still' : 'not'} among the addresses`,
		},
		stop: {
			name: 'stop_cuts_nothing_off', held: end.code === 0 && cutTries.length === 0, detail: `exit code ${String(end.code)}, ${cutTries.length} answers cut off`,
		},
	};
}

async function waitForVersion(watch: VersionWatch, version: number): Promise<boolean> {
	const deadline = systemClock.monotonicMillis() + VERSION_TIMEOUT_MILLIS;
	while (systemClock.monotonicMillis() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		await watch.poll();
		if (watch.lowestVersion() >= version) {
			return true;
		}
	}

	return false;
}

/** A promise holds when the records of callers and stand-ins confirm it and the audit record shows no breach. */
function combineWithAudit(evidence: readonly Evidence[], audit: AuditSummary): readonly Evidence[] {
	return evidence.map(item => {
		const verdict = audit.verdicts.get(item.name) ?? 'absent';
		return {...item, held: item.held && verdict !== 'broken' && audit.faults === 0, detail: `${item.detail}; audit: ${verdict}`};
	});
}

function countTag(calls: readonly LoggedCall[], tag: string): number {
	return allTries(calls).filter(({outcome}) => outcome.tag === tag).length;
}

/** Runs calls, a change of targets, a switch of the expert map and a planned stop against a local system, and checks every promise. */
export async function runDemo(): Promise<DemoSummary> {
	const system = await startLocalSystem(DEFAULT_SYSTEM);
	const daemons = [...system.entries, ...system.engineAgents, ...system.plainAgents];
	const processes = daemons.length + system.engines.length + system.plainServices.length + 5;
	printProgress(`${processes} processes are running; settings and logs are in a temporary directory`);
	const watch = watchVersions(daemons);
	await applyTargets(system, TARGETS_FILE);
	await system.waitAllReady();
	printProgress('the initial targets are in force');

	const firstCalls = await sendCalls(system, 'first');
	const repeats = await repeatPlainCalls(system, firstCalls);
	printProgress('streamed and non-idempotent calls are done');
	const version = await applyChangedTargets(system);
	const isInForceEverywhere = await waitForVersion(watch, version);
	printProgress(`version ${version} is ${isInForceEverywhere ? '' : 'not '}in force everywhere`);
	const isSwitched = await waitForSwitch(system);
	printProgress(isSwitched ? 'the expert map was switched' : `the expert map was not switched within ${SWITCH_TIMEOUT_MILLIS} ms`);
	const plannedStop = await stopEntryUnderLoad(system);
	printProgress('an entry was stopped as planned');

	const calls = [...firstCalls, ...repeats, ...plannedStop.calls];
	const group = parseGroupRecords(await system.rankGroup.readRecords());
	const records = await Promise.all(system.plainServices.map(async plain => plain.readRecords()));
	const executions = records.flatMap(item => parsePlainRecords(item));
	await watch.poll();
	const shutdown = await system.close(async () => {
		// All daemons have exited by now and have written their audit records.
		const run = await runTool('audit', 'verify', '--objects', system.objects.url);
		return parseAuditReport(run.output);
	});
	const evidence: readonly Evidence[] = [
		judgeExpertMaps(group),
		judgeAnswers(calls),
		judgeNotRun(calls, executions),
		judgeAtMostOnce(calls, executions),
		plannedStop.leaving,
		{
			...plannedStop.stop,
			held: plannedStop.stop.held && shutdown.uncleanExits.length === 0,
			detail: `${plannedStop.stop.detail}; ${shutdown.uncleanExits.length} daemons did not exit cleanly at the shutdown`,
		},
		{
			name: 'configuration_never_reverts',
			held: isInForceEverywhere && watch.revertedDaemons().length === 0,
			detail: `version ${version} in force everywhere: ${String(isInForceEverywhere)}, ${watch.revertedDaemons().length} instances reported a lower version than before`,
		},
	];
	return {
		requests: allTries(calls).length,
		answered: countTag(calls, 'answered'),
		notRun: countTag(calls, 'not_run'),
		unknown: countTag(calls, 'unknown') + countTag(calls, 'disconnected'),
		duplicates: findDuplicateKeys(executions).length,
		mixedMapSteps: group.mixedSteps.length,
		mapSwitches: countSwitches(group),
		switchPauseMillis: listSwitchPauses(group),
		meanSkew: group.meanSkew,
		processes,
		promises: combineWithAudit(evidence, shutdown.callbackResult),
	};
}
