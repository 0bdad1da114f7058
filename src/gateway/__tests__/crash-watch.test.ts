import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {silentLog} from '../../observability/log.js';
import type {BackendServer} from '../backend-server.js';
import {createCrashWatch} from '../crash-watch.js';
import {createGatewayMetrics} from '../gateway-metrics.js';

const server: BackendServer = {
	id: 's1', incarnation: 1, service: 'svc', address: 's1:1', failureDomain: 'a', slots: 6, state: 'ready', coldLeftMillis: 0, sequence: 1, group: undefined,
};

function createWatch() {
	const clock = createManualClock();
	const lost: string[] = [];
	const state = {isListening: true, listed: server, checks: 0};
	const watch = createCrashWatch({
		clock,
		log: silentLog,
		metrics: createGatewayMetrics(),
		connections: {
			async isListening() {
				state.checks++;
				return state.isListening;
			},
		},
		quarantine: {
			noteLost(_, {attemptId}) {
				lost.push(attemptId);
			},
		},
		readServers: () => new Map([[server.id, state.listed]]),
	});
	return {
		clock, lost, state, async noteLost(attemptId: string) {
			const head = {
				attemptId, credential: undefined, deadlineMillis: undefined, promptTokens: 0, maxOutputTokens: 0, promptParts: [], lastEventId: undefined,
			};
			await watch.noteLost(server, {head}, {parts: [], fingerprint: attemptId}, clock.monotonicMillis());
		},
	};
}

void test('a backend server that crashes right after it was found alive is checked again', async () => {
	const {clock, lost, state, noteLost} = createWatch();
	await noteLost('reset');
	clock.advance(50);
	state.isListening = false;
	await noteLost('crashed');
	assert.deepEqual(lost, ['crashed']);
});

void test('requests that are lost at about the same time share one check', async () => {
	const {lost, state, noteLost} = createWatch();
	state.isListening = false;
	await Promise.all(['a', 'b', 'c'].map(async id => noteLost(id)));
	await noteLost('d');
	assert.deepEqual(lost, ['a', 'b', 'c', 'd']);
	assert.equal(state.checks, 1);
});

void test('a backend server that is leaving ends as announced', async () => {
	const {lost, state, noteLost} = createWatch();
	state.isListening = false;
	state.listed = {...server, state: 'draining'};
	await noteLost('a');
	assert.deepEqual(lost, []);
});
