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
	findDuplicates,
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
/** Longest wait for a version to be in force everywhere, in milliseconds. */
const VERSION_TIMEOUT_MILLIS = 8000;

/** What the demo saw. */
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

function say(text: string): void {
	console.log(`demo: ${text}`);
}

async function applyTargets(system: LocalSystem, file: string): Promise<number> {
	const urls = system.entries.map(entry => entry.operatorUrl).join(',');
	const run = await runTool('apply', file, '--entry', urls);
	invariant(run.exitCode === 0, `the operators' tool applies ${file}: ${run.text}`);
	const version: unknown = Reflect.get(new Object(run.output), 'version');
	invariant(typeof version === 'number', 'an accepted change has a version');
	return version;
}

/** Puts a targets file with another lateness into force. */
async function changeTargets(system: LocalSystem): Promise<number> {
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
	const answers = Array.from({length: MODEL_CALLS}, async (_, i) => createWorker(system).ask(`${round}: why does scooter ${i} stall?`, TOKENS_PER_ANSWER));
	const postings = Array.from({length: PLAIN_CALLS}, async (_, i) => createWorker(system).postOnce(`${round}-${i}`, `reserve battery ${i}`, i % 2 === 0));
	return Promise.all([...answers, ...postings]);
}

/** Sends keys that ran once more, through another caller: each must give the first answer again. */
async function repeatCalls(system: LocalSystem, calls: readonly LoggedCall[]): Promise<readonly LoggedCall[]> {
	const plain = calls.flatMap(call => call.kind === 'plain' && !call.isBound ? [call] : []);
	return Promise.all(plain.map(async call => createWorker(system).postOnce(call.key, call.body, false)));
}

/** Waits for a switch of the expert map in the records of the ranks. */
async function waitForSwitch(system: LocalSystem): Promise<void> {
	const deadline = systemClock.monotonicMillis() + SWITCH_TIMEOUT_MILLIS;
	while (systemClock.monotonicMillis() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		const group = parseGroupRecords(await system.rankGroup.readRecords());
		if (countSwitches(group) > 0) {
			return;
		}

		// eslint-disable-next-line no-await-in-loop
		await systemClock.sleep(SWITCH_POLL_MILLIS);
	}
}

type StopEvidence = Readonly<{leaving: Evidence; stop: Evidence; calls: readonly LoggedCall[]}>;

/** Plans the stop of an entry and ends it under load. */
async function stopEntry(system: LocalSystem): Promise<StopEvidence> {
	const leaver = system.entries.at(-1);
	const stayer = system.entries[0];
	invariant(leaver && stayer && leaver !== stayer, 'the demo has two entries');
	const running = sendCalls(system, 'stop');
	const plan = await runTool('stop', 'plan', '--instance', leaver.instance.id, '--entry', stayer.operatorUrl);
	const answer = await fetchAddresses(stayer.instance.callerUrl, CREDENTIAL);
	const isListed = answer?.addresses.some(address => address.url === leaver.instance.callerUrl) ?? true;
	leaver.signal('SIGTERM');
	const [calls, end] = await Promise.all([running, leaver.waitEnd()]);
	const cut = allTries(calls).filter(({outcome}) => outcome.tag === 'cut' || outcome.tag === 'disconnected');
	return {
		calls,
		leaving: {
			name: 'leaving_gets_no_new_work',
			held: plan.exitCode === 0 && !isListed,
			detail: `planned stop: exit code ${plan.exitCode}; the leaving entry is ${isListed ? 'still' : 'not'} among the addresses`,
		},
		stop: {
			name: 'stop_cuts_nothing_off', held: end.code === 0 && cut.length === 0, detail: `exit code ${String(end.code)}, ${cut.length} answers cut off`,
		},
	};
}

async function waitForVersion(watch: VersionWatch, version: number): Promise<boolean> {
	const deadline = systemClock.monotonicMillis() + VERSION_TIMEOUT_MILLIS;
	while (systemClock.monotonicMillis() < deadline) {
		// eslint-disable-next-line no-await-in-loop
		await watch.look();
		if (watch.lowest() >= version) {
			return true;
		}
	}

	return false;
}

/** A promise holds when callers and stand-ins saw it held and the audit record shows no breach. */
function addAudit(evidence: readonly Evidence[], audit: AuditSummary): readonly Evidence[] {
	return evidence.map(item => {
		const verdict = audit.verdicts.get(item.name) ?? 'absent';
		return {...item, held: item.held && verdict !== 'broken' && audit.faults === 0, detail: `${item.detail}; audit: ${verdict}`};
	});
}

function countTag(calls: readonly LoggedCall[], tag: string): number {
	return allTries(calls).filter(({outcome}) => outcome.tag === tag).length;
}

/** Runs the demo. */
export async function runDemo(): Promise<DemoSummary> {
	const system = await startLocalSystem(DEFAULT_SYSTEM);
	const daemons = [...system.entries, ...system.engineAgents, ...system.plainAgents];
	const processes = daemons.length + system.engines.length + system.plains.length + 5;
	say(`${processes} processes run; settings and logs are in a folder of their own`);
	const watch = watchVersions(daemons);
	await applyTargets(system, TARGETS_FILE);
	await system.waitAllReady();
	say('first targets are in force');

	const first = await sendCalls(system, 'first');
	const repeats = await repeatCalls(system, first);
	say('streamed and non-idempotent calls are done');
	const version = await changeTargets(system);
	const isEverywhere = await waitForVersion(watch, version);
	say(`version ${version} is ${isEverywhere ? '' : 'not '}in force everywhere`);
	await waitForSwitch(system);
	say('the expert map was switched');
	const stopping = await stopEntry(system);
	say('an entry left');

	const calls = [...first, ...repeats, ...stopping.calls];
	const group = parseGroupRecords(await system.rankGroup.readRecords());
	const records = await Promise.all(system.plains.map(async plain => plain.readRecords()));
	const executions = records.flatMap(item => parsePlainRecords(item));
	await watch.look();
	const failed = await system.close(async () => {
		// The audit record is read when all daemons have ended and written it.
		const run = await runTool('audit', 'verify', '--objects', system.objects.url);
		return parseAuditReport(run.output);
	});
	const evidence: readonly Evidence[] = [
		judgeExpertMaps(group),
		judgeAnswers(calls),
		judgeNotRun(calls, executions),
		judgeAtMostOnce(calls, executions),
		stopping.leaving,
		{
			...stopping.stop,
			held: stopping.stop.held && failed.badEnds.length === 0,
			detail: `${stopping.stop.detail}; ${failed.badEnds.length} daemons ended badly at the end`,
		},
		{
			name: 'configuration_never_reverts',
			held: isEverywhere && watch.reverted().length === 0,
			detail: `version ${version} everywhere: ${String(isEverywhere)}, ${watch.reverted().length} instances went back`,
		},
	];
	return {
		requests: allTries(calls).length,
		answered: countTag(calls, 'answered'),
		notRun: countTag(calls, 'not_run'),
		unknown: countTag(calls, 'unknown') + countTag(calls, 'disconnected'),
		duplicates: findDuplicates(executions).length,
		mixedMapSteps: group.mixedSteps.length,
		mapSwitches: countSwitches(group),
		switchPauseMillis: listSwitchPauses(group),
		meanSkew: group.meanSkew,
		processes,
		promises: addAudit(evidence, failed.beforePlatformEnds),
	};
}
