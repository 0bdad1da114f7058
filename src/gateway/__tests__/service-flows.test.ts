import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import type {BackendService, RoutingConfiguration} from '../../routing/routing-configuration.js';
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

function createFlows(entries: number, servers = ['a', 'b', 'c'].map(id => createServer(id))) {
	const flows = createServiceFlows({
		clock: createManualClock(), random: () => 0, budgetTerms: {ratio: 0.2, extra: 10, windowMillis: 1000}, countEntries: () => entries,
	});
	flows.update(new Map(servers.map(server => [server.id, server])), cfg);
	return flows.read('plain');
}

for (const entries of [1, 6, 34, 350]) {
	void test(`${entries} entries together keep no more idle connections than a backend server accepts`, () => {
		const {readMaxIdleConnections: readMaxIdle} = createFlows(entries);
		assert.ok(readMaxIdle() >= 1);
		assert.ok(entries > PLAIN.maxConnections || readMaxIdle() * entries <= PLAIN.maxConnections);
	});

	void test(`${entries} entries share the requests that a plain service may hold`, () => {
		const {permitQueue: lane} = createFlows(entries);
		assert.ok(lane.readLimit() >= 2, 'each may send at least two');
		assert.ok(lane.readLimit() <= Math.max(2, 36 / entries));
	});
}

void test('backend servers whose group is broken offer no places', () => {
	const group = {
		name: 'g', rank: 0, size: 2, epoch: 1, isOpen: false,
	};
	const {permitQueue: lane} = createFlows(1, [createServer('a'), {...createServer('b'), group}, {...createServer('c'), group: {...group, isOpen: true}}]);
	assert.equal(lane.readLimit(), 24);
});
