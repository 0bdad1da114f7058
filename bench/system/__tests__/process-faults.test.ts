import assert from 'node:assert/strict';
import {
	after, before, beforeEach, test,
} from 'node:test';
import {systemClock} from '../../../src/core/system-clock.js';
import {allTries, type LoggedCall} from '../call-log.js';
import {createCallWorker, type CallWorker} from '../call-worker.js';
import {
	judgeAnswers, judgeAtMostOnce, judgeNotRun, parsePlainRecords, type Execution,
} from '../evidence.js';
import {startLocalSystem, type LocalSystem} from '../local-system.js';
import {runTool} from '../run-tool.js';
import {DEFAULT_SYSTEM} from '../system-options.js';
import {TARGETS_FILE} from '../targets-file.js';

const MODEL_CALLS = 10;
const PLAIN_CALLS = 16;
const TOKENS_PER_ANSWER = 120;
/** Time until streams and calls are in flight, in milliseconds. */
const IN_FLIGHT_DELAY_MILLIS = 400;
/** Time for which a process is paused, in milliseconds; longer than its links tolerate. */
const PAUSE_MILLIS = 3000;
/** Lag of the instance list during the planned stop of an agent, in milliseconds. */
const LONG_LAG_MILLIS = 30_000;

let system: LocalSystem;
let round = 0;

before(async () => {
	system = await startLocalSystem({...DEFAULT_SYSTEM, entries: 3, plainServices: 2});
	await runTool('apply', TARGETS_FILE, '--entry', operatorUrls());
});

beforeEach(async () => {
	round += 1;
	await system.waitAllReady();
});

after(async () => {
	const {uncleanExits} = await system.close(async () => undefined);
	assert.deepEqual(uncleanExits, []);
});

function operatorUrls(): string {
	return system.entries.map(entry => entry.operatorUrl).join(',');
}

function createWorker(): CallWorker {
	return createCallWorker({
		entryUrls: system.entries.map(entry => entry.instance.callerUrl),
		credential: 'workshop-temuco-credential',
		modelService: system.options.modelService,
		modelClass: 'customer-note',
		plainService: system.options.plainService,
		plainClass: 'booking',
		random: Math.random,
	});
}

/** Sends long streams and calls that must run at most once, all at the same time. */
async function sendCalls(): Promise<readonly LoggedCall[]> {
	const name = `round ${round}`;
	const streams = Array.from({length: MODEL_CALLS}, async (_, i) => createWorker().askModel(`${name} note ${i}`, TOKENS_PER_ANSWER));
	const calls = Array.from({length: PLAIN_CALLS}, async (_, i) => createWorker().callPlainService(`${name} key ${i}`, `part ${i}`, i % 2 === 0));
	return Promise.all([...streams, ...calls]);
}

async function readExecutions(): Promise<readonly Execution[]> {
	const records = await Promise.all(system.plainServices.map(async plain => plain.readRecords()));
	return records.flatMap(item => parsePlainRecords(item));
}

async function assertPromises(calls: readonly LoggedCall[]): Promise<void> {
	const executions = await readExecutions();
	for (const evidence of [judgeAnswers(calls), judgeNotRun(calls, executions), judgeAtMostOnce(calls, executions)]) {
		assert.ok(evidence.held, evidence.detail);
	}
}

test('whole answer: an entry killed in mid-stream leaves a truncated answer, never a partial one that looks complete', async () => {
	const pendingCalls = sendCalls();
	await systemClock.sleep(IN_FLIGHT_DELAY_MILLIS);
	const [victim] = system.entries;
	victim?.signal('SIGKILL');
	await victim?.waitEnd();
	const calls = await pendingCalls;
	victim?.launch();
	await victim?.waitReady();

	await assertPromises(calls);
});

test('"not run" is true: an entry that was paused and resumed never answers "not run" for a call that was executed', async () => {
	const pendingCalls = sendCalls();
	const [victim] = system.entries;
	victim?.signal('SIGSTOP');
	await systemClock.sleep(PAUSE_MILLIS);
	victim?.signal('SIGCONT');

	await assertPromises(await pendingCalls);
});

test('planned stop: an entry and an agent stopped concurrently during a burst, each by two signals, cut off no call', async () => {
	const pendingCalls = sendCalls();
	await systemClock.sleep(IN_FLIGHT_DELAY_MILLIS);
	const stoppedDaemons = [system.entries.at(-1), system.plainAgents.at(-1)];
	for (const daemon of stoppedDaemons) {
		daemon?.signal('SIGTERM');
		daemon?.signal('SIGTERM');
	}

	const exits = await Promise.all(stoppedDaemons.map(async daemon => daemon?.waitEnd()));
	const calls = await pendingCalls;
	for (const daemon of stoppedDaemons) {
		daemon?.launch();
	}

	await Promise.all(stoppedDaemons.map(async daemon => daemon?.waitReady()));
	assert.deepEqual(exits.map(end => end?.code), [0, 0]);
	assert.deepEqual(allTries(calls).filter(({outcome}) => outcome.tag === 'cut' || outcome.tag === 'disconnected'), []);
	await assertPromises(calls);
});

test('leaving: an agent gets no new work although the instance list lags 30 s behind its planned stop', async () => {
	const agent = system.plainAgents[0];
	const all = [...system.entries, ...system.engineAgents, ...system.plainAgents].map(daemon => daemon.instance);
	const instances = all.map(instance => instance.id === agent?.instance.id ? {...instance, state: 'leaving'} : instance);
	await system.instanceList.control('PUT', 'instances', {instances, lagMillis: LONG_LAG_MILLIS});
	const plan = await runTool('stop', 'plan', '--instance', agent?.instance.id ?? '', '--entry', operatorUrls());
	assert.equal(plan.exitCode, 0, plan.text);
	// The planned stop is in force at its confirmed instances, and the agent is one of them.
	const executionsBefore = parsePlainRecords(await system.plainServices[0]?.readRecords()).length;
	const calls = await sendCalls();

	assert.equal(parsePlainRecords(await system.plainServices[0]?.readRecords()).length, executionsBefore);
	assert.ok(calls.some(call => call.kind === 'plain' && call.tries.at(-1)?.outcome.tag === 'answered'));
	await assertPromises(calls);
});
