import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import type {BackendService, Route, RoutingConfiguration} from '../../routing/routing-configuration.js';
import {listServicePriorities} from '../../routing/service-priorities.js';
import type {BackendServer} from '../backend-server.js';
import {createServiceFlows} from '../service-flows.js';

const PLAIN: BackendService = {
	name: 'plain', healthPath: '/health', maxConnections: 100, engine: undefined,
};

const cfg: RoutingConfiguration = {
	version: 1,
	routes: [],
	services: new Map([['plain', PLAIN]]),
	accounts: undefined,
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMillis: 1, idleTimeoutMillis: 1,
	},
};

function createServer(id: string): BackendServer {
	return {
		id, incarnation: 1, service: 'plain', address: `${id}:1`, failureDomain: 'a', slots: 6, state: 'ready', coldLeftMillis: 0, sequence: 1, group: undefined,
	};
}

function createFlows(entries: number, servers = ['a', 'b', 'c'].map(id => createServer(id)), evacuation: Partial<Parameters<typeof createServiceFlows>[0]> = {}) {
	const flows = createServiceFlows({
		clock: createManualClock(), random: () => 0, retryBudgetOptions: {ratio: 0.2, extra: 10, windowMillis: 1000}, countEntries: () => entries, countRetrySharers: () => entries, ...evacuation,
	});
	flows.update(new Map(servers.map(server => [server.id, server])), cfg);
	return flows.read('plain');
}

for (const entries of [1, 6, 34, 350]) {
	void test(`${entries} entries together keep at most the idle connections that a backend server accepts`, () => {
		const {readMaxIdleConnections} = createFlows(entries);
		assert.ok(readMaxIdleConnections() >= 1);
		assert.ok(entries > PLAIN.maxConnections || readMaxIdleConnections() * entries <= PLAIN.maxConnections);
	});

	void test(`${entries} entries share the concurrency limit of a plain service`, () => {
		const {permitQueue} = createFlows(entries);
		assert.ok(permitQueue.readLimit() >= 2, 'each entry may send at least two requests');
		assert.ok(permitQueue.readLimit() <= Math.max(2, 36 / entries));
	});
}

void test('backend servers of a broken rank group add nothing to the concurrency limit', () => {
	const group = {
		name: 'g', rank: 0, size: 2, epoch: 1, isOpen: false,
	};
	const {permitQueue} = createFlows(1, [createServer('a'), {...createServer('b'), group}, {...createServer('c'), group: {...group, isOpen: true}}]);
	assert.equal(permitQueue.readLimit(), 24);
});

void test('backend servers of an evacuated failure domain add nothing to the concurrency limit, and what still runs there uses none of it', () => {
	const servers = [createServer('a'), createServer('b'), {...createServer('c'), failureDomain: 'z'}];
	const {permitQueue} = createFlows(1, servers, {isEvacuated: failureDomain => failureDomain === 'z', countEvacuatedInFlight: () => 5});
	assert.equal(permitQueue.readLimit(), 24 + 5);
});

void test('priorities come from routes with a share of the service, and from accounts except on public routes', () => {
	const route: Route = {
		name: 'r',
		host: 'h',
		prefix: '/',
		retryRule: 'idempotent',
		isStreaming: false,
		timeoutMillis: 1,
		targetLatencyMillis: 1,
		maxPauseMillis: undefined,
		maxAttempts: 1,
		priority: 1,
		isPublic: false,
		shares: [{service: 'plain', weight: 1}],
	};
	const accounts = new Map(([undefined, 3] as const).map((priority, i) => [`key${i}`, {name: `a${i}`, priority}]));
	assert.deepEqual(listServicePriorities({routes: [route, {...route, priority: 0, shares: [{service: 'plain', weight: 0}]}], accounts: undefined}, 'plain'), [1]);
	assert.deepEqual(listServicePriorities({routes: [route, {...route, priority: 0, isPublic: true}], accounts}, 'plain'), [0, 1, 3]);
	assert.deepEqual(listServicePriorities({routes: [route], accounts}, 'other'), []);
});

void test('a cold engine adds to the limit no more than what is in use at the rate at which it gets requests', () => {
	const {permitQueue} = createFlows(1, undefined, {readColdRate: server => server === 'a' ? 0.002 : undefined});
	assert.equal(permitQueue.readLimit(), 2 * (2 + 6 + 6));
});
