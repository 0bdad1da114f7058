/** An entry for tests, in this process, with in-memory platform stores and fake agents. */
import {sha256Hex} from '../../core/digest.js';
import {createLinkAccess} from '../../access/link-access.js';
import type {AuditEvent} from '../../audit/audit-record.js';
import {createConfigurationHolder} from '../../configuration/configuration-holder.js';
import type {Configuration} from '../../configuration/configuration.js';
import {createLifeCycle, type LifeCycle} from '../../core/life-cycle.js';
import {succeed} from '../../core/result.js';
import {systemClock} from '../../core/system-clock.js';
import type {ProcessContext} from '../../daemon/process-context.js';
import {silentLog} from '../../observability/log.js';
import {createMetrics} from '../../observability/metrics.js';
import type {Instance} from '../../ports/instance-list.js';
import type {ObjectStore} from '../../ports/object-store.js';
import type {TableStore} from '../../ports/table-store.js';
import type {EntrySettings} from '../../settings/settings.js';
import {startEntry, type RunningEntry} from '../start-entry.js';
import type {FakeAgent} from './fake-agent.js';

/** Credential of the account `desk`. */
export const CREDENTIAL = 'desk-credential';

/** Targets with one model service and one plain service with repeatable and unrepeatable work. */
export const configuration: Configuration = {
	version: 1,
	changeId: 'first',
	changedBy: 'test',
	plannedStops: [],
	targets: {
		services: [{name: 'model', kind: 'model'}, {name: 'bookings', kind: 'plain'}],
		classes: [
			{
				name: 'draft', service: 'model', lateAfterMillis: 5000, lateShare: 0.1, refusedShare: 0.1, idempotent: true, priority: 1, deadlineMillis: 8000,
			},
			{
				name: 'book', service: 'bookings', lateAfterMillis: 5000, lateShare: 0.1, refusedShare: 0.1, idempotent: false, priority: 1, deadlineMillis: 8000,
			},
			{
				name: 'look', service: 'bookings', lateAfterMillis: 5000, lateShare: 0.1, refusedShare: 0.1, idempotent: true, priority: 1, deadlineMillis: 8000,
			},
		],
		groups: [],
		accounts: [{name: 'desk', credentialDigest: sha256Hex(CREDENTIAL)}],
	},
};

/** Platform and fakes that entries of one test share. */
export type World = {
	readonly lifeCycle: LifeCycle;
	readonly table: TableStore;
	readonly objects: ObjectStore;
	instances: readonly Instance[];
};

/** An entry under test. */
export type TestEntry = Readonly<{
	url: string;
	operatorUrl: string;
	ctx: ProcessContext;
	running: RunningEntry;
	events: AuditEvent[];
}>;

export function describeAgent(agent: FakeAgent, service: string): Instance {
	return {
		id: agent.agentId, role: 'agent', region: 'r', failureDomain: 'a', state: 'live', callerUrl: '', linkAddress: agent.address, service, group: '', rank: -1,
	};
}

/** Waits until the condition holds; a test that never comes there ends by the runner's timeout. */
export async function waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
	/* eslint-disable no-await-in-loop -- Each look follows the one before. */
	while (!await condition()) {
		await systemClock.sleep(5);
	}
	/* eslint-enable no-await-in-loop */
}

/** Posts a call of the plain service as the account `desk`. */
export async function postCall(entry: TestEntry, body: string, headers: Readonly<Record<string, string>>): Promise<Response> {
	return fetch(`${entry.url}/v1/services/bookings/calls`, {
		method: 'POST', body, headers: {authorization: `Bearer ${CREDENTIAL}`, ...headers},
	});
}

/** Posts a request for a streamed answer and gives all events of the response. */
export async function postPrompt(entry: TestEntry, headers: Readonly<Record<string, string>> = {}): Promise<Readonly<{status: number; events: ReadonlyArray<Readonly<{name: string; data: Record<string, unknown>}>>}>> {
	const res = await fetch(`${entry.url}/v1/models/model/answers`, {
		method: 'POST',
		body: JSON.stringify({prompt: 'Why is the invoice higher?', maxTokens: 16}),
		headers: {authorization: `Bearer ${CREDENTIAL}`, ...headers},
	});
	const text = await res.text();
	const events = [...text.matchAll(/event: (\w+)\ndata: (.*)\n\n/gv)].map(found => ({name: found[1] ?? '', data: JSON.parse(found[2] ?? '') as Record<string, unknown>}));
	return {status: res.status, events};
}

export async function startTestEntry(world: World, instanceId: string, overrides: Partial<EntrySettings> = {}): Promise<TestEntry> {
	const events: AuditEvent[] = [];
	const lifeCycle = createLifeCycle();
	world.lifeCycle.own(instanceId, async () => {
		await lifeCycle.shutdown();
	});
	const holder = createConfigurationHolder();
	holder.offer(configuration);
	const ctx: ProcessContext = {
		incarnation: `${instanceId}-1`,
		clock: systemClock,
		log: silentLog,
		metrics: createMetrics(),
		lifeCycle,
		audit: {
			append(event) {
				events.push(event);
				return true;
			},
			hasRoom: () => true,
		},
		table: world.table,
		objects: world.objects,
		instances: {list: async () => succeed(world.instances)},
		configuration: holder,
		linkAccess: createLinkAccess(undefined, undefined),
	};
	const started = await startEntry(ctx, {
		role: 'entry',
		instanceId,
		region: 'r',
		failureDomain: 'a',
		metricsListen: '127.0.0.1:0',
		platform: {tableUrl: 'http://127.0.0.1', objectUrl: 'http://127.0.0.1', instanceListUrl: 'http://127.0.0.1'},
		drainMillis: 5000,
		auditIntervalMillis: 1000,
		auditPendingRecords: 1000,
		callerListen: '127.0.0.1:0',
		callerUrl: `http://${instanceId}.test`,
		operatorListen: '127.0.0.1:0',
		weightLoadsPerSecond: 20,
		addressLifetimeMillis: 200,
		planIntervalMillis: 5000,
		maxBodyBytes: 4096,
		...overrides,
	}, {operatorToken: undefined});
	if (!started.ok) {
		throw new Error(started.error.detail);
	}

	const agents = world.instances.filter(instance => instance.role === 'agent');
	await waitFor(async () => {
		const {values} = await ctx.metrics.links.get();
		return (values[0]?.value ?? 0) === agents.length;
	});
	const {caller, operator} = started.value.ports;
	return {
		url: `http://127.0.0.1:${caller}`, operatorUrl: `http://127.0.0.1:${operator}`, ctx, running: started.value, events,
	};
}
