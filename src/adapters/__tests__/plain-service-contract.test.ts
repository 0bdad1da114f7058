import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {z} from 'zod';
import type {FaultChange} from '../../../fakes/faults/fault-switches.js';
import {createPlainBackend} from '../../../fakes/plain-backend.js';
import {readRecords} from '../../../fakes/read-records.js';
import {
	HOPELESS_TIMEOUT_MILLIS, MIXED_TIMEOUT_MILLIS, PATIENT_TIMEOUT_MILLIS,
} from '../../../fakes/test-timeouts.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import type {PlainService} from '../../ports/plain-service.js';
import {createHttpPlainService} from '../http-plain-service.js';

const executionsSchema = z.object({executionsByKey: z.record(z.string(), z.number())});

async function start(ctx: TestContext, workMillis = 0, timeoutMillis = PATIENT_TIMEOUT_MILLIS) {
	const lifeCycle = createLifeCycle();
	const backend = await createPlainBackend({listen: '127.0.0.1:0', workMillis, loadLagMillis: 0});
	lifeCycle.own('plain service', backend.close);
	ctx.after(async () => lifeCycle.shutdown());
	const service = createHttpPlainService({baseUrl: backend.url, timeoutMillis, lifeCycle});
	return {backend, service};
}

async function call(service: PlainService, attemptId = 'attempt-1', timeoutMillis = PATIENT_TIMEOUT_MILLIS) {
	return service.call({
		attemptId, idempotencyKey: 'key-1', body: new TextEncoder().encode('{"amount":1}'), timeoutMillis,
	});
}

const faultCases: ReadonlyArray<Readonly<{
	name: string;
	faults: FaultChange;
	workMillis?: number;
	timeoutMillis?: number;
	outcome: string;
	executions: number | undefined;
}>> = [
	{
		name: 'no fault', faults: {}, outcome: '200', executions: 1,
	},
	{
		name: 'outage', faults: {outage: true}, outcome: '503', executions: undefined,
	},
	{
		name: 'no reply', faults: {silent: true}, timeoutMillis: HOPELESS_TIMEOUT_MILLIS, outcome: 'no_answer', executions: undefined,
	},
	{
		name: 'a lost reply', faults: {replyLostNext: 1}, outcome: 'no_answer', executions: 1,
	},
	{
		name: 'work beyond the timeout', faults: {}, workMillis: PATIENT_TIMEOUT_MILLIS, timeoutMillis: MIXED_TIMEOUT_MILLIS, outcome: 'no_answer', executions: 1,
	},
];
for (const {
	name, faults, workMillis, timeoutMillis, outcome, executions,
} of faultCases) {
	test(`plain service, ${name}: ${outcome}, executions ${executions ?? 0}`, async ctx => {
		const {backend, service} = await start(ctx, workMillis);
		backend.faults.set(faults);
		const result = await call(service, 'attempt-1', timeoutMillis);
		assert.equal(result.ok ? String(result.value.status) : result.error.tag, outcome);
		const records = await readRecords(backend.url, executionsSchema);
		assert.equal(records.executionsByKey['key-1'], executions);
	});
}

test('plain service: the stand-in executes a repeated key again, so that duplicates can be detected', async ctx => {
	const {backend, service} = await start(ctx);
	await call(service, 'attempt-1');
	await call(service, 'attempt-2');
	const records = await readRecords(backend.url, executionsSchema);
	assert.equal(records.executionsByKey['key-1'], 2);
});

test('plain service: a call to a service that is not running is not_sent, and so is reading its load', async ctx => {
	const {backend, service} = await start(ctx);
	await backend.close();
	const results = [await call(service), await service.readLoad()];
	assert.deepEqual(results.map(result => result.ok ? 'ok' : result.error.tag), ['not_sent', 'not_sent']);
});

test('plain service: the load is reported with its age', async ctx => {
	const {service} = await start(ctx);
	assert.deepEqual(await service.readLoad(), {ok: true, value: {running: 0, queued: 0, ageMillis: 0}});
});
