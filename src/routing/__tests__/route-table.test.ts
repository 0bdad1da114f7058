import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createRouteTable, drawService} from '../route-table.js';
import type {Route, RoutingConfiguration} from '../routing-configuration.js';

function createRoute(name: string, host: string, prefix: string): Route {
	return {
		name,
		host,
		prefix,
		retryRule: 'idempotent',
		isStreaming: false,
		timeoutMillis: 1000,
		targetLatencyMillis: 100,
		maxPauseMillis: undefined,
		maxAttempts: 2,
		priority: 0,
		isPublic: false,
		shares: [{service: 'a', weight: 9}, {service: 'b', weight: 1}],
	};
}

const cfg: RoutingConfiguration = {
	version: 1,
	routes: [createRoute('short', 'x.example', '/a/'), createRoute('long', 'x.example', '/a/b/'), createRoute('other', 'y.example', '/a/')],
	services: new Map(),
	accounts: undefined,
	limits: {
		maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMillis: 1, idleTimeoutMillis: 1,
	},
};

const cases = [
	{host: 'x.example', path: '/a/b/c', route: 'long'},
	{host: 'x.example', path: '/a/bc', route: 'short'},
	{host: 'X.Example:8080', path: '/a/1?q=/a/b/', route: 'short'},
	{host: 'y.example', path: '/a/b/c', route: 'other'},
	{host: 'z.example', path: '/a/', route: undefined},
	{host: 'x.example', path: '/b/', route: undefined},
	{host: 'x.example', path: '/a', route: undefined},
] as const;

for (const {host, path, route} of cases) {
	void test(`${host}${path} matches route ${route}`, () => {
		assert.equal(createRouteTable(cfg).lookUp(host, path)?.name, route);
	});
}

void test('a split route picks its services by weight', () => {
	const route = createRoute('split', 'x.example', '/');
	assert.equal(drawService(route, () => 0), 'a');
	assert.equal(drawService(route, () => 0.89), 'a');
	assert.equal(drawService(route, () => 0.91), 'b');
	assert.equal(drawService({...route, shares: []}, () => 0), undefined);
});
