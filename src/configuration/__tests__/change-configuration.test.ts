import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createHastyClock} from '../../../fakes/hasty-clock.js';
import {inTurn} from '../../../fakes/in-turn.js';
import {createInMemoryTableStore, type InMemoryTableStore} from '../../../fakes/in-memory-table-store.js';
import type {Result} from '../../core/result.js';
import type {TableStore, Transaction} from '../../ports/table-store.js';
import type {ChangeError} from '../change-error.js';
import {changeConfiguration, type ChangeRequest} from '../change-configuration.js';
import type {Configuration} from '../configuration.js';
import {CONFIGURATION_KEY, CONFIGURATION_TABLE} from '../configuration-row.js';
import {addPlannedStop, cancelPlannedStop, replaceTargets} from '../configuration-update.js';
import {createTargets} from './example-targets.js';

const hastyClock = createHastyClock();

const stop = {
	id: 'stop-1', scope: 'instance', subject: 'entry-1', announcedAt: '2026-12-03T00:00:00Z',
} as const;

function changeTargets(changeId: string, lateAfterMillis: number): ChangeRequest {
	return {changeId, changedBy: 'operator', update: replaceTargets(createTargets(lateAfterMillis))};
}

async function change(table: TableStore, req: ChangeRequest): Promise<Result<Configuration, ChangeError>> {
	return changeConfiguration({table, clock: hastyClock}, req);
}

function countWrites(table: InMemoryTableStore): number {
	return table.state.history().filter(row => row.table === CONFIGURATION_TABLE).length;
}

function tagOf(result: Result<Configuration, ChangeError>): string {
	return result.ok ? 'accepted' : result.error.tag;
}

/** Wraps `table` so that `before` runs ahead of its first transaction. */
function runBeforeTransaction(table: InMemoryTableStore, before: () => Promise<void>): TableStore {
	let hasRun = false;
	return {
		...table,
		async transact(tx) {
			if (!hasRun) {
				hasRun = true;
				await before();
			}

			return table.transact(tx);
		},
	};
}

test('configuration: each accepted change raises the version by one', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const first = await change(table, changeTargets('c1', 100));
	const second = await change(table, {changeId: 'c2', changedBy: 'operator', update: addPlannedStop(stop)});
	assert.deepEqual([first.ok && first.value.version, second.ok && second.value.version], [1, 2]);
	assert.deepEqual(second.ok && second.value.plannedStops, [stop]);
});

test('configuration: of two concurrent changes one is accepted, and the conflict error of the other holds both', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const racingTable = runBeforeTransaction(table, async () => {
		await change(table, changeTargets('theirs', 200));
	});
	const result = await change(racingTable, changeTargets('mine', 100));
	assert.ok(!result.ok && result.error.tag === 'conflict');
	assert.deepEqual([result.error.own.changeId, result.error.other.changeId], ['mine', 'theirs']);
	assert.equal(countWrites(table), 1);
});

test('configuration: a lost table reply is resolved by reading the change back, never by a second write', async () => {
	const table = createInMemoryTableStore(hastyClock);
	table.faults.set({replyLostNext: 1});
	assert.equal(tagOf(await change(table, changeTargets('c1', 100))), 'accepted');
	assert.equal(countWrites(table), 1);
});

test('configuration: a change whose reply was lost counts as accepted even if a later change has replaced it', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const lossyTable: TableStore = {
		...table,
		async transact(tx) {
			table.faults.set({replyLostNext: 1});
			const lost = await table.transact(tx);
			await change(table, changeTargets('later', 300));
			return lost;
		},
	};
	const result = await change(lossyTable, changeTargets('c1', 100));
	assert.deepEqual(result.ok && [result.value.changeId, result.value.version], ['c1', 1]);
	assert.equal(countWrites(table), 2);
});

test('configuration: a lost write is a conflict once another change has been stored', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const lossyTable: TableStore = {
		...table,
		async transact() {
			await change(table, changeTargets('theirs', 200));
			return {ok: false, error: {tag: 'reply_lost', detail: 'timeout'}};
		},
	};
	assert.equal(tagOf(await change(lossyTable, changeTargets('mine', 100))), 'conflict');
});

test('configuration: a write that may still arrive is unsettled, and a retry with the same change id settles it', async () => {
	const table = createInMemoryTableStore(hastyClock);
	await change(table, changeTargets('c0', 50));
	const sent: Transaction[] = [];
	const lossyTable: TableStore = {
		...table,
		async transact(tx) {
			sent.push(tx);
			return {ok: false, error: {tag: 'reply_lost', detail: 'timeout'}};
		},
	};
	assert.equal(tagOf(await change(lossyTable, changeTargets('c1', 100))), 'unsettled');
	await inTurn(sent, table.transact);
	assert.equal(tagOf(await change(table, changeTargets('c1', 100))), 'accepted');
	assert.equal(countWrites(table), 2);
});

test('configuration: an earlier write of the same change that arrives between the read and the write counts once', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const tableWithLateWrite = runBeforeTransaction(table, async () => {
		await change(table, changeTargets('c1', 100));
	});
	assert.equal(tagOf(await change(tableWithLateWrite, changeTargets('c1', 100))), 'accepted');
	assert.equal(countWrites(table), 1);
});

const outages = [
	{name: 'outage', faults: {outage: true}},
	{name: 'silence', faults: {silent: true}},
] as const;
for (const {name, faults} of outages) {
	test(`configuration: a change during ${name} of the table fails as unavailable and writes nothing`, async () => {
		const table = createInMemoryTableStore(hastyClock);
		table.faults.set(faults);
		assert.equal(tagOf(await change(table, changeTargets('c1', 100))), 'unavailable');
		assert.equal(countWrites(table), 0);
	});
}

test('configuration: an outage that starts at the write is unavailable, one that follows a lost reply is unsettled', async () => {
	const table = createInMemoryTableStore(hastyClock);
	const failingTable = runBeforeTransaction(table, async () => {
		table.faults.set({outage: true});
	});
	assert.equal(tagOf(await change(failingTable, changeTargets('c1', 100))), 'unavailable');
	table.faults.reset();
	const lossyTable: TableStore = {
		...table,
		async transact(tx) {
			table.faults.set({replyLostNext: 1});
			const lost = await table.transact(tx);
			table.faults.set({outage: true});
			return lost;
		},
	};
	assert.equal(tagOf(await change(lossyTable, changeTargets('c2', 100))), 'unsettled');
	table.faults.reset();
	assert.equal(tagOf(await change(table, changeTargets('c2', 100))), 'accepted');
	assert.equal(countWrites(table), 1);
});

const rejections = [
	{
		name: 'a stop before the first targets', before: [], update: addPlannedStop(stop), tag: 'no_configuration',
	},
	{
		name: 'a stop announced twice', before: [replaceTargets(createTargets(1)), addPlannedStop(stop)], update: addPlannedStop(stop), tag: 'stop_exists',
	},
	{
		name: 'a cancel of an unknown stop', before: [replaceTargets(createTargets(1))], update: cancelPlannedStop('stop-1'), tag: 'stop_unknown',
	},
] as const;
for (const {
	name, before, update, tag,
} of rejections) {
	test(`configuration: ${name} is rejected as ${tag}`, async () => {
		const table = createInMemoryTableStore(hastyClock);
		await inTurn(before.entries(), async ([index, earlier]) => change(table, {
			changeId: `before-${index}`, changedBy: 'operator', update: earlier,
		}));

		const result = await change(table, {changeId: 'c', changedBy: 'operator', update});
		assert.ok(!result.ok && result.error.tag === 'rejected');
		assert.equal(result.error.reason.tag, tag);
	});
}

test('configuration: a stored row that fails the schema is reported with the field name and not overwritten', async () => {
	const table = createInMemoryTableStore(hastyClock);
	await table.transact({conditions: [], writes: [{table: CONFIGURATION_TABLE, key: CONFIGURATION_KEY, value: {version: 'x'}}]});
	const result = await change(table, changeTargets('c1', 100));
	assert.ok(!result.ok && result.error.tag === 'ill_formed');
	assert.match(result.error.detail, /^version: /v);
	assert.equal(tagOf(result), 'ill_formed');
	assert.equal(countWrites(table), 1);
});
