import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import type {FaultChange} from '../../../fakes/faults/fault-switches.js';
import {createHastyClock} from '../../../fakes/hasty-clock.js';
import {createInMemoryObjectStore} from '../../../fakes/in-memory-object-store.js';
import {inTurn} from '../../../fakes/in-turn.js';
import {createObjectService} from '../../../fakes/object-service.js';
import {HOPELESS_TIMEOUT_MILLIS, PATIENT_TIMEOUT_MILLIS} from '../../../fakes/test-timeouts.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import type {Result} from '../../core/result.js';
import type {ObjectError, ObjectStore} from '../../ports/object-store.js';
import {createHttpObjectStore} from '../http-object-store.js';

type Subject = Readonly<{
	store: ObjectStore;
	setFaults: (change: FaultChange) => void;
	resetFaults: () => void;
}>;

async function createHttpSubject(ctx: TestContext, timeoutMillis: number): Promise<Subject> {
	const lifeCycle = createLifeCycle();
	const service = await createObjectService({listen: '127.0.0.1:0'});
	lifeCycle.own('object service', service.close);
	ctx.after(async () => lifeCycle.shutdown());
	return {
		store: createHttpObjectStore({baseUrl: service.url, timeoutMillis, lifeCycle}),
		setFaults: service.faults.set,
		resetFaults: service.faults.reset,
	};
}

async function createInMemorySubject(): Promise<Subject> {
	const store = createInMemoryObjectStore(createHastyClock());
	return {store, setFaults: store.faults.set, resetFaults: store.faults.reset};
}

const subjects = [
	{name: 'over HTTP', create: createHttpSubject},
	{name: 'in memory', create: createInMemorySubject},
];

function tagOf(result: Result<unknown, ObjectError>): string {
	return result.ok ? 'ok' : result.error.tag;
}

const bytes = Uint8Array.from([0, 255, 10, 13]);
function timeoutFor(faults: FaultChange): number {
	return faults.silent ? HOPELESS_TIMEOUT_MILLIS : PATIENT_TIMEOUT_MILLIS;
}

const faultCases: ReadonlyArray<Readonly<{
	name: string;
	faults: FaultChange;
	read: string;
	create: string;
	/** Result of a second `create` after the fault has ended. */
	secondCreate: string;
}>> = [
	{
		name: 'no fault', faults: {}, read: 'ok', create: 'ok', secondCreate: 'exists',
	},
	{
		name: 'outage', faults: {outage: true}, read: 'unavailable', create: 'unavailable', secondCreate: 'ok',
	},
	{
		name: 'no reply', faults: {silent: true}, read: 'unavailable', create: 'reply_lost', secondCreate: 'ok',
	},
	{
		name: 'a lost reply', faults: {replyLostNext: 1}, read: 'ok', create: 'reply_lost', secondCreate: 'exists',
	},
];

for (const {name: kind, create: createSubject} of subjects) {
	for (const {
		name, faults, read, create, secondCreate,
	} of faultCases) {
		test(`object store ${kind}, ${name}: a read is ${read}, a create is ${create}, and a second one after the fault is ${secondCreate}`, async ctx => {
			const {store, setFaults, resetFaults} = await createSubject(ctx, timeoutFor(faults));
			setFaults(faults);
			assert.equal(tagOf(await store.read('k')), read);
			assert.equal(tagOf(await store.list('')), read);
			assert.equal(tagOf(await store.create('k', bytes)), create);
			resetFaults();
			assert.equal(tagOf(await store.create('k', bytes)), secondCreate);
		});
	}

	test(`object store ${kind}: an object is written once, read back byte by byte and listed by prefix`, async ctx => {
		const {store} = await createSubject(ctx, PATIENT_TIMEOUT_MILLIS);
		await inTurn(['audit/b/2', 'audit/a b/1', 'other'], async key => store.create(key, bytes));
		await store.create('other', new Uint8Array(0));
		const read = await store.read('other');
		assert.deepEqual(read.ok && read.value && [...read.value], [...bytes]);
		assert.deepEqual(await store.list('audit/'), {ok: true, value: ['audit/a b/1', 'audit/b/2']});
		assert.deepEqual(await store.read('none'), {ok: true, value: undefined});
	});
}
