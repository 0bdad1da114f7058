import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {z} from 'zod';
import type {FaultChange} from '../../../fakes/faults/fault-switches.js';
import {createHastyClock} from '../../../fakes/hasty-clock.js';
import {createInMemoryTableStore} from '../../../fakes/in-memory-table-store.js';
import {inTurn} from '../../../fakes/in-turn.js';
import {readRecords} from '../../../fakes/read-records.js';
import {createTableService} from '../../../fakes/table-service.js';
import {
	HOPELESS_TIMEOUT_MILLIS, MIXED_TIMEOUT_MILLIS, PATIENT_TIMEOUT_MILLIS,
} from '../../../fakes/test-timeouts.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import type {Result} from '../../core/result.js';
import type {TableError, TableStore} from '../../ports/table-store.js';
import {createHttpTableStore} from '../http-table-store.js';

const historySchema = z.object({history: z.array(z.unknown())});

/** A table store and the fault controls of its stand-in. */
type Subject = Readonly<{
	store: TableStore;
	setFaults: (change: FaultChange) => void;
	/** Number of writes that took effect. */
	countWrites: () => Promise<number>;
}>;

async function createHttpSubject(ctx: TestContext, timeoutMillis: number): Promise<Subject> {
	const lifeCycle = createLifeCycle();
	const service = await createTableService({listen: '127.0.0.1:0'});
	lifeCycle.own('table service', service.close);
	ctx.after(async () => lifeCycle.shutdown());
	return {
		store: createHttpTableStore({baseUrl: service.url, timeoutMillis, lifeCycle}),
		setFaults: service.faults.set,
		async countWrites() {
			const records = await readRecords(service.url, historySchema);
			return records.history.length;
		},
	};
}

async function createInMemorySubject(): Promise<Subject> {
	const store = createInMemoryTableStore(createHastyClock());
	return {store, setFaults: store.faults.set, countWrites: async () => store.state.history().length};
}

const subjects = [
	{name: 'over HTTP', create: createHttpSubject},
	{name: 'in memory', create: createInMemorySubject},
];

function tagOf(result: Result<unknown, TableError>): string {
	return result.ok ? 'ok' : result.error.tag;
}

async function put(store: TableStore, key: string, version: number, value: unknown = key) {
	return store.transact({conditions: [{table: 't', key, version}], writes: [{table: 't', key, value}]});
}

function timeoutFor(faults: FaultChange): number {
	return faults.silent ? HOPELESS_TIMEOUT_MILLIS : PATIENT_TIMEOUT_MILLIS;
}

const faultCases: ReadonlyArray<Readonly<{name: string; faults: FaultChange; read: string; write: string; writes: number}>> = [
	{
		name: 'no fault', faults: {}, read: 'ok', write: 'ok', writes: 1,
	},
	{
		name: 'delay', faults: {delayMillis: 5}, read: 'ok', write: 'ok', writes: 1,
	},
	{
		name: 'outage', faults: {outage: true}, read: 'unavailable', write: 'unavailable', writes: 0,
	},
	{
		name: 'no reply', faults: {silent: true}, read: 'unavailable', write: 'reply_lost', writes: 0,
	},
	{
		name: 'a lost reply', faults: {replyLostNext: 1}, read: 'ok', write: 'reply_lost', writes: 1,
	},
	{
		name: 'every reply lost', faults: {replyLostShare: 1}, read: 'ok', write: 'reply_lost', writes: 1,
	},
];

for (const {name: kind, create} of subjects) {
	for (const {
		name, faults, read, write, writes,
	} of faultCases) {
		test(`table store ${kind}, ${name}: a read is ${read}, a write is ${write} and takes effect ${writes} times`, async ctx => {
			const {store, setFaults, countWrites} = await create(ctx, timeoutFor(faults));
			setFaults(faults);
			assert.equal(tagOf(await store.read('t', 'k')), read);
			assert.equal(tagOf(await store.list('t', '')), read);
			assert.equal(tagOf(await put(store, 'k', 0)), write);
			assert.equal(await countWrites(), writes);
		});
	}

	test(`table store ${kind}: versions increase with each write, and a list is in key order within its table and prefix`, async ctx => {
		const {store} = await create(ctx, PATIENT_TIMEOUT_MILLIS);
		await inTurn(['a/2', 'a/10', 'b/1', 'a/1 %ü'], async key => put(store, key, 0));
		await put(store, 'a/2', 1, 'again');
		await store.transact({conditions: [], writes: [{table: 'other', key: 'a/1', value: 1}]});
		const rows = await store.list('t', 'a/');
		assert.deepEqual(rows.ok && rows.value.map(row => [row.key, row.version]), [['a/1 %ü', 1], ['a/10', 1], ['a/2', 2]]);
		assert.deepEqual(await store.read('t', 'a/2'), {
			ok: true,
			value: {
				table: 't', key: 'a/2', version: 2, value: 'again',
			},
		});
	});

	test(`table store ${kind}: a failed condition writes nothing and returns the current rows`, async ctx => {
		const {store, countWrites} = await create(ctx, PATIENT_TIMEOUT_MILLIS);
		await put(store, 'a', 0, 'first');
		const result = await store.transact({
			conditions: [{table: 't', key: 'a', version: 0}, {table: 't', key: 'b', version: 0}],
			writes: [{table: 't', key: 'a', value: 'second'}, {table: 't', key: 'b', value: 'second'}],
		});
		assert.ok(!result.ok && result.error.tag === 'conflict');
		assert.deepEqual(result.error.rows.map(row => [row.key, row.value]), [['a', 'first']]);
		assert.equal(await countWrites(), 1);
	});

	test(`table store ${kind}: a write without a value deletes the row`, async ctx => {
		const {store} = await create(ctx, PATIENT_TIMEOUT_MILLIS);
		await put(store, 'a', 0);
		const result = await store.transact({
			conditions: [{table: 't', key: 'a', version: 1}],
			writes: [{table: 't', key: 'a', value: undefined}, {table: 't', key: 'b', value: 1}],
		});
		assert.deepEqual(result.ok && result.value.map(row => row.key), ['b']);
		assert.deepEqual(await store.read('t', 'a'), {ok: true, value: undefined});
	});

	test(`table store ${kind}: exactly one of ten concurrent writers with the same condition succeeds`, async ctx => {
		const {store, countWrites} = await create(ctx, PATIENT_TIMEOUT_MILLIS);
		const results = await Promise.all(Array.from({length: 10}, async (_, index) => put(store, 'lease', 0, index)));
		assert.equal(results.filter(result => result.ok).length, 1);
		assert.equal(results.filter(result => !result.ok && result.error.tag === 'conflict').length, 9);
		assert.equal(await countWrites(), 1);
	});
}

test('table store over HTTP: a write to a frozen service is reply_lost and takes effect after it resumes', async ctx => {
	const {store, setFaults} = await createHttpSubject(ctx, MIXED_TIMEOUT_MILLIS);
	setFaults({freeze: true});
	assert.equal(tagOf(await put(store, 'k', 0)), 'reply_lost');
	setFaults({freeze: false});
	const row = await store.read('t', 'k');
	assert.equal(row.ok && row.value?.version, 1);
});

test('table store over HTTP: unresponsive connections fail one call, then all of them are replaced', async ctx => {
	const {store, setFaults} = await createHttpSubject(ctx, MIXED_TIMEOUT_MILLIS);
	await inTurn(['a', 'b', 'c'], async key => put(store, key, 0));
	setFaults({silenceOpenConnections: true});
	assert.equal(tagOf(await put(store, 'd', 0)), 'reply_lost');
	assert.equal(tagOf(await put(store, 'e', 0)), 'ok');
});

test('table store over HTTP: calls to a service that is not running are unavailable, writes included', async () => {
	const lifeCycle = createLifeCycle();
	const service = await createTableService({listen: '127.0.0.1:0'});
	await service.close();
	const store = createHttpTableStore({baseUrl: service.url, timeoutMillis: PATIENT_TIMEOUT_MILLIS, lifeCycle});
	assert.equal(tagOf(await put(store, 'k', 0)), 'unavailable');
	assert.equal(tagOf(await store.read('t', 'k')), 'unavailable');
	await lifeCycle.shutdown();
});
