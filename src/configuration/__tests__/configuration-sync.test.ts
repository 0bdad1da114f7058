import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {match} from 'ts-pattern';
import {createHastyClock} from '../../../fakes/hasty-clock.js';
import {inTurn} from '../../../fakes/in-turn.js';
import {createInMemoryTableStore, type InMemoryTableStore} from '../../../fakes/in-memory-table-store.js';
import {instrumentTableStore} from '../../adapters/instrumented-stores.js';
import {createManualClock} from '../../core/manual-clock.js';
import {silentLog} from '../../observability/log.js';
import {createMetrics} from '../../observability/metrics.js';
import {changeConfiguration} from '../change-configuration.js';
import type {Configuration} from '../configuration.js';
import {createConfigurationHolder, type ConfigurationHolder} from '../configuration-holder.js';
import {CONFIGURATION_KEY, CONFIGURATION_TABLE} from '../configuration-row.js';
import {registerConfigurationSync} from '../configuration-sync.js';
import {replaceTargets} from '../configuration-update.js';
import {pollDelayMillis} from '../poll-delay.js';
import {createTargets} from './example-targets.js';

const hastyClock = createHastyClock();

async function makeAcceptedChange(table: InMemoryTableStore, changeId: string): Promise<Configuration | undefined> {
	const result = await changeConfiguration({table, clock: hastyClock}, {
		changeId, changedBy: 'operator', update: replaceTargets(createTargets(100)),
	});
	return result.ok ? result.value : undefined;
}

/** Waits until the polls that are due have finished and the sync sleeps again. */
async function runDuePolls(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

function startSync(table: InMemoryTableStore, holder: ConfigurationHolder) {
	const clock = createManualClock();
	const metrics = createMetrics();
	const teardown = registerConfigurationSync({
		table: instrumentTableStore(table, metrics), holder, clock, metrics, log: silentLog, random: () => 0.5,
	});
	return {clock, metrics, teardown};
}

test('configuration: an accepted version is in force after the next poll, and polling counts and survives outages', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const holder = createConfigurationHolder();
	const {clock, metrics, teardown} = startSync(table, holder);
	await runDuePolls();
	assert.equal(holder.version(), 0);

	await makeAcceptedChange(table, 'c1');
	table.faults.set({outage: true});
	clock.advance(1000);
	await runDuePolls();
	assert.equal(holder.version(), 0);
	const errors = await metrics.platformErrors.get();
	assert.deepEqual(errors.values.map(({value, labels}) => [labels.error, value]), [['unavailable', 1]]);

	table.faults.reset();
	clock.advance(1000);
	await runDuePolls();
	assert.equal(holder.version(), 0, 'the delay doubles after a failed poll');
	clock.advance(1000);
	await runDuePolls();
	assert.equal(holder.version(), 1);
	teardown();
	await makeAcceptedChange(table, 'c2');
	clock.advance(60_000);
	await runDuePolls();
	assert.equal(holder.version(), 1, 'no poll after the teardown');
});

test('configuration: an older or ill-formed row in the table does not replace the configuration in force', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const holder = createConfigurationHolder();
	const firstAccepted = await makeAcceptedChange(table, 'c1');
	await makeAcceptedChange(table, 'c2');
	const {clock, teardown} = startSync(table, holder);
	await runDuePolls();
	await inTurn([firstAccepted, {version: 99}, undefined], async value => {
		await table.transact({conditions: [], writes: [{table: CONFIGURATION_TABLE, key: CONFIGURATION_KEY, value}]});
		clock.advance(10_000);
		await runDuePolls();
		assert.deepEqual([holder.version(), holder.read()?.changeId], [2, 'c2']);
	});

	teardown();
});

test('configuration: a new instance takes the version of a peer during a table outage and keeps it after recovery', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const [peer, stalePeer, fresh] = [createConfigurationHolder(), createConfigurationHolder(), createConfigurationHolder()];
	stalePeer.offer((await makeAcceptedChange(table, 'c1'))!);
	peer.offer((await makeAcceptedChange(table, 'c2'))!);
	table.faults.set({outage: true});
	const {clock, teardown} = startSync(table, fresh);
	await runDuePolls();
	assert.equal(fresh.read(), undefined);

	fresh.offer(stalePeer.read()!);
	fresh.offer(peer.read()!);
	fresh.offer(stalePeer.read()!);
	assert.equal(fresh.version(), 2);
	table.faults.reset();
	clock.advance(60_000);
	await runDuePolls();
	assert.deepEqual([fresh.version(), fresh.read()?.changeId], [2, 'c2']);
	teardown();
});

test('configuration: the poll delay doubles with each failure up to its limit, with jitter around the mean', () => {
	const timing = {intervalMillis: 100, maxIntervalMillis: 400};
	assert.deepEqual([0, 1, 2, 3, 9].map(failures => pollDelayMillis(timing, failures, 0.5)), [100, 200, 400, 400, 400]);
	assert.deepEqual([0, 0.5, 1].map(random => pollDelayMillis(timing, 0, random)), [50, 100, 150]);
});

const PROCESSES = 4;
const processIndex = fc.nat(PROCESSES - 1);
const operation = fc.oneof(
	fc.record({tag: fc.constant('change' as const), replyLost: fc.boolean()}),
	fc.record({tag: fc.constant('poll' as const), process: processIndex}),
	fc.record({tag: fc.constant('send' as const), process: processIndex}),
	fc.record({
		tag: fc.constant('deliver' as const), process: processIndex, pick: fc.nat(), isDoubled: fc.boolean(),
	}),
	fc.record({tag: fc.constant('lose' as const), pick: fc.nat()}),
	fc.record({tag: fc.constant('restart' as const), process: processIndex}),
	fc.record({tag: fc.constant('outage' as const), isOn: fc.boolean()}),
);

type Operation = typeof operation extends fc.Arbitrary<infer T> ? T : never;

/** Simulates processes that share a table and send each other their configuration in force. */
class ProcessSimulation {
	readonly table = createInMemoryTableStore(hastyClock);
	readonly holders = Array.from({length: PROCESSES}, () => createConfigurationHolder());
	readonly accepted: Configuration[] = [];
	readonly messages: Configuration[] = [];
	changes = 0;

	async run(op: Operation): Promise<void> {
		const before = this.holders.map(holder => ({holder, version: holder.version()}));
		await this.perform(op);
		for (const {holder, version} of before) {
			assert.ok(holder.version() >= version, 'the version in a process went down');
		}
	}

	async poll(index: number): Promise<void> {
		const {teardown} = startSync(this.table, this.holders[index]!);
		await runDuePolls();
		teardown();
	}

	private async perform(op: Operation): Promise<void> {
		return match(op)
			.returnType<Promise<void>>()
			.with({tag: 'change'}, async ({replyLost}) => this.change(replyLost))
			.with({tag: 'poll'}, async ({process}) => this.poll(process))
			.with({tag: 'send'}, async ({process}) => {
				this.send(process);
			})
			.with({tag: 'deliver'}, async ({process, pick, isDoubled}) => {
				this.deliver(process, pick, isDoubled);
			})
			.with({tag: 'lose'}, async ({pick}) => {
				this.lose(pick);
			})
			.with({tag: 'restart'}, async ({process}) => {
				this.restart(process);
			})
			.with({tag: 'outage'}, async ({isOn}) => {
				this.table.faults.set({outage: isOn});
			})
			.exhaustive();
	}

	private send(index: number): void {
		const configuration = this.holders[index]!.read();
		this.messages.push(...(configuration ? [configuration] : []));
	}

	private lose(pick: number): void {
		this.messages.splice(pick % (this.messages.length + 1), 1);
	}

	private restart(index: number): void {
		this.holders[index] = createConfigurationHolder();
	}

	private async change(isReplyLost: boolean): Promise<void> {
		this.changes += 1;
		this.table.faults.set({replyLostNext: isReplyLost ? 1 : 0});
		const configuration = await makeAcceptedChange(this.table, `change-${this.changes}`);
		this.accepted.push(...(configuration ? [configuration] : []));
	}

	private deliver(index: number, pick: number, isDoubled: boolean): void {
		const at = pick % (this.messages.length + 1);
		const [message] = isDoubled ? this.messages.slice(at, at + 1) : this.messages.splice(at, 1);
		if (message) {
			this.holders[index]!.offer(message);
		}
	}
}

test('configuration: the version never goes down in any process, and every process ends with the last accepted change', async () => {
	await fc.assert(fc.asyncProperty(fc.array(operation, {maxLength: 60, size: 'max'}), async operations => {
		const simulation = new ProcessSimulation();
		await inTurn(operations, async op => simulation.run(op));

		simulation.table.faults.reset();
		await inTurn(simulation.holders.entries(), async ([index, holder]) => {
			await simulation.poll(index);
			assert.equal(holder.version(), simulation.accepted.at(-1)?.version ?? 0);
			assert.equal(holder.read()?.changeId, simulation.accepted.at(-1)?.changeId);
		});

		assert.deepEqual(simulation.accepted.map(({version}) => version), simulation.accepted.map((_, index) => index + 1));
	}), {seed: 20_261_203, numRuns: 200});
});
