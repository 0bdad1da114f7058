import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {request} from 'undici';
import type {FaultChange} from '../../../fakes/faults/fault-switches.js';
import {createHastyClock} from '../../../fakes/hasty-clock.js';
import {createInMemoryInstanceList} from '../../../fakes/in-memory-instance-list.js';
import {createInstanceListService} from '../../../fakes/instance-list-service.js';
import {HOPELESS_TIMEOUT_MILLIS, PATIENT_TIMEOUT_MILLIS} from '../../../fakes/test-timeouts.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import {createManualClock} from '../../core/manual-clock.js';
import type {Instance, InstanceList} from '../../ports/instance-list.js';
import {createHttpInstanceList} from '../http-instance-list.js';

const instance: Instance = {
	id: 'agent-1',
	role: 'agent',
	region: 'region-1',
	failureDomain: 'domain-a',
	state: 'live',
	callerUrl: '',
	linkAddress: '127.0.0.1:4000',
	service: 'model',
	group: 'group-1',
	rank: 0,
};

type Subject = Readonly<{list: InstanceList; setFaults: (change: FaultChange) => void}>;

async function createHttpSubject(ctx: TestContext, timeoutMillis: number): Promise<Subject> {
	const lifeCycle = createLifeCycle();
	const service = await createInstanceListService({listen: '127.0.0.1:0', lagMillis: 0});
	lifeCycle.own('instance list', service.close);
	ctx.after(async () => lifeCycle.shutdown());
	await request(`${service.url}/control/instances`, {method: 'PUT', body: JSON.stringify({instances: [instance]})});
	return {
		list: createHttpInstanceList({baseUrl: service.url, timeoutMillis, lifeCycle}),
		setFaults: service.faults.set,
	};
}

async function createInMemorySubject(): Promise<Subject> {
	const list = createInMemoryInstanceList([instance], 0, createHastyClock());
	return {list, setFaults: list.faults.set};
}

const subjects = [
	{name: 'over HTTP', create: createHttpSubject},
	{name: 'in memory', create: createInMemorySubject},
];
function timeoutFor(faults: FaultChange): number {
	return faults.silent ? HOPELESS_TIMEOUT_MILLIS : PATIENT_TIMEOUT_MILLIS;
}

const faultCases: ReadonlyArray<Readonly<{name: string; faults: FaultChange; outcome: string}>> = [
	{name: 'no fault', faults: {}, outcome: 'agent-1'},
	{name: 'outage', faults: {outage: true}, outcome: 'unavailable'},
	{name: 'no reply', faults: {silent: true}, outcome: 'unavailable'},
];
for (const {name: kind, create} of subjects) {
	for (const {name, faults, outcome} of faultCases) {
		test(`instance list ${kind}, ${name}: ${outcome}`, async ctx => {
			const {list, setFaults} = await create(ctx, timeoutFor(faults));
			setFaults(faults);
			const result = await list.list();
			assert.equal(result.ok ? result.value[0]?.id : result.error.tag, outcome);
		});
	}
}

test('instance list in memory: a change becomes visible after the lag, and the previous state is shown until then', async () => {
	const clock = createManualClock();
	const list = createInMemoryInstanceList([instance], 30_000, clock);
	const showState = async () => {
		const result = await list.list();
		return result.ok && result.value[0]?.state;
	};

	list.state.set([{...instance, state: 'leaving'}]);
	clock.advance(29_999);
	assert.equal(await showState(), 'live');
	list.state.set([instance]);
	clock.advance(1);
	assert.equal(await showState(), 'leaving');
	clock.advance(30_000);
	assert.equal(await showState(), 'live');
});
