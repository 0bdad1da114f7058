/** Test harness for an entry in this process, with in-memory platform stores and fake agents. */
import type {TestContext} from 'node:test';
import {z} from 'zod';
import {createInMemoryObjectStore, type InMemoryObjectStore} from '../../../fakes/in-memory-object-store.js';
import {createInMemoryTableStore, type InMemoryTableStore} from '../../../fakes/in-memory-table-store.js';
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
import type {EntrySettings} from '../../settings/settings.js';
import {startEntry, type RunningEntry} from '../start-entry.js';
import {startFakeAgent, type FakeAgent, type Script} from './fake-agent.js';

/** Credential of the account `desk`. */
export const CREDENTIAL = 'desk-credential';

/** Targets with one model service, and one plain service with idempotent and non-idempotent work. */
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

/** Platform stores and fakes that the entries of one test share. */
export type TestEnvironment = {
	readonly lifeCycle: LifeCycle;
	readonly table: InMemoryTableStore;
	readonly objects: InMemoryObjectStore;
	instances: readonly Instance[];
	/** Configuration in force when an entry starts. */
	configuration: Configuration | undefined;
};

/** An entry under test. */
export type TestEntry = Readonly<{
	url: string;
	operatorUrl: string;
	ctx: ProcessContext;
	running: RunningEntry;
	events: AuditEvent[];
}>;

function describeAgent(agent: FakeAgent, service: string): Instance {
	return {
		id: agent.agentId, role: 'agent', region: 'r', failureDomain: 'a', state: 'live', callerUrl: '', linkAddress: agent.address, service, group: '', rank: -1,
	};
}

/** Waits until the condition holds; the timeout of the test runner bounds the wait. */
export async function waitFor(condition: () => boolean | Promise<boolean>): Promise<void> {
	/* eslint-disable no-await-in-loop -- Checks run one after the other. */
	while (!await condition()) {
		await systemClock.sleep(5);
	}
	/* eslint-enable no-await-in-loop */
}

/** Posts a call to the plain service as the account `desk`. */
export async function postCall(entry: TestEntry, body: string, headers: Readonly<Record<string, string>>): Promise<Response> {
	return fetch(`${entry.url}/v1/services/bookings/calls`, {
		method: 'POST', body, headers: {authorization: `Bearer ${CREDENTIAL}`, ...headers},
	});
}

const eventSchema = z.object({
	offset: z.number().optional(),
	tokens: z.array(z.string()).default([]),
	count: z.number().optional(),
	digest: z.string().optional(),
	outcome: z.string().optional(),
	reason: z.string().optional(),
});

/** A server-sent event of a streamed answer. */
export type TokenEvent = z.infer<typeof eventSchema> & Readonly<{name: string}>;

/** Posts a request for a streamed answer and returns all events of the response. */
export async function postPrompt(entry: TestEntry, headers: Readonly<Record<string, string>> = {}, signal?: AbortSignal): Promise<Readonly<{status: number; events: readonly TokenEvent[]}>> {
	const res = await fetch(`${entry.url}/v1/models/model/answers`, {
		method: 'POST',
		body: JSON.stringify({prompt: 'Why is the invoice higher?', maxTokens: 16}),
		signal: signal ?? null,
		headers: {authorization: `Bearer ${CREDENTIAL}`, ...headers},
	});
	const text = await res.text();
	const found = [...text.matchAll(/event: (?<name>\w+)\ndata: (?<data>.*)\n\n/gv)];
	return {
		status: res.status,
		events: found.map(({groups}) => ({name: groups?.name ?? '', ...eventSchema.parse(JSON.parse(groups?.data ?? ''))})),
	};
}

const outcomeSchema = z.object({outcome: z.string(), reason: z.string()});

/** Reads outcome and reason of a response without an answer. */
export async function readOutcome(res: Response): Promise<z.infer<typeof outcomeSchema>> {
	return outcomeSchema.parse(await res.json());
}

const addressesSchema = z.object({
	addresses: z.array(z.object({url: z.string(), failureDomain: z.string()})),
	bindings: z.array(z.object({service: z.string(), binding: z.string()})),
});

/** Requests the addresses for the account `desk`. */
export async function readAddresses(entry: TestEntry): Promise<z.infer<typeof addressesSchema>> {
	const res = await fetch(`${entry.url}/v1/addresses`, {headers: {authorization: `Bearer ${CREDENTIAL}`}});
	return addressesSchema.parse(await res.json());
}

/** Requests the binding of the plain service. */
export async function readBinding(entry: TestEntry): Promise<string> {
	const {bindings} = await readAddresses(entry);
	return bindings.find(item => item.service === 'bookings')?.binding ?? '';
}

/** Creates an environment without agents, which is shut down after the test, even when the test fails. */
export function createTestEnvironment(t: TestContext): TestEnvironment {
	const lifeCycle = createLifeCycle();
	t.after(async () => lifeCycle.shutdown());
	return {
		lifeCycle, table: createInMemoryTableStore(), objects: createInMemoryObjectStore(), instances: [], configuration,
	};
}

/** Starts an agent of the service for each script and adds it to the instance list. */
export async function startAgents(env: TestEnvironment, service: string, scripts: readonly Script[]): Promise<readonly FakeAgent[]> {
	const agents = await Promise.all(scripts.map(async (script, index) => startFakeAgent(env.lifeCycle, `${service}-${index + 1}`, service, script)));
	for (const agent of agents) {
		agent.configuration = env.configuration;
	}

	env.instances = [...env.instances, ...agents.map(agent => describeAgent(agent, service))];
	return agents;
}

/** Starts an entry and waits until it has a link to each listed agent. */
export async function startTestEntry(env: TestEnvironment, instanceId: string, overrides: Partial<EntrySettings> = {}, operatorToken?: string): Promise<TestEntry> {
	const events: AuditEvent[] = [];
	const lifeCycle = createLifeCycle();
	env.lifeCycle.own(instanceId, async () => {
		await lifeCycle.shutdown();
	});
	const holder = createConfigurationHolder();
	if (env.configuration) {
		holder.offer(env.configuration);
	}

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
		table: env.table,
		objects: env.objects,
		instances: {list: async () => succeed(env.instances)},
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
	}, {operatorToken});
	if (!started.ok) {
		throw new Error(started.error.detail);
	}

	const agents = env.instances.filter(instance => instance.role === 'agent');
	await waitFor(async () => {
		const {values} = await ctx.metrics.links.get();
		return (values[0]?.value ?? 0) === agents.length;
	});
	const {caller, operator} = started.value.ports;
	return {
		url: `http://127.0.0.1:${caller}`, operatorUrl: `http://127.0.0.1:${operator}`, ctx, running: started.value, events,
	};
}
