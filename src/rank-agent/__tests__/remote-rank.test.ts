import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {createLinkAccess} from '../../access/link-access.js';
import {openLinkServer} from '../../agent/link-server.js';
import {systemClock} from '../../core/system-clock.js';
import {fail, succeed} from '../../core/result.js';
import {silentLog} from '../../observability/log.js';
import type {
	OrderOutcome, RankEngine, RankOrder, RankState,
} from '../../ports/rank-engine.js';
import {createRankService} from '../rank-service.js';
import {openRemoteRank} from '../remote-rank.js';

const STATE: RankState = {
	group: {
		name: 'g', rank: 1, size: 2, epoch: 3, isOpen: true,
	},
	step: 40,
	mapVersion: 4,
	preparedVersion: 6,
	armed: {version: 6, step: 44},
	heldStep: 44,
	slowFactor: 1.5,
	hasWork: true,
};

const EXPERTS = [[0, 2], [1, 3]];
const COUNTS = [5, 0, 7_000_000_000, 1];

let outcome: OrderOutcome = {tag: 'accepted', detail: ''};
let isAnswering = true;
const orders: Array<Readonly<{order: RankOrder; epoch: number}>> = [];

const engine: RankEngine = {
	readState: async () => isAnswering ? succeed(STATE) : fail({tag: 'unavailable', detail: 'ECONNREFUSED'}),
	readLoad: async () => succeed({state: STATE, counts: COUNTS}),
	readExperts: async () => succeed(EXPERTS),
	async order(order, epoch) {
		orders.push({order, epoch});
		return outcome;
	},
};

const access = createLinkAccess('token', undefined);
const server = await openLinkServer(access, systemClock, '127.0.0.1:0', [createRankService({
	engine, access, clock: systemClock, log: silentLog,
})]);
assert.ok(server.ok);
const {address} = server.value;
const remote = openRemoteRank(address, access, systemClock);
after(async () => {
	remote.close();
	await server.value.close();
});

void test('a state is transferred unchanged', async () => {
	assert.deepEqual(await remote.readState(), succeed(STATE));
});

void test('a state without a hold, a prepared version or an armed version is transferred unchanged', async () => {
	const plain = {
		...STATE, heldStep: undefined, armed: undefined, preparedVersion: undefined, hasWork: false,
	};
	const serverOfPlainRank = await openLinkServer(access, systemClock, '127.0.0.1:0', [createRankService({
		engine: {...engine, readState: async () => succeed(plain)}, access, clock: systemClock, log: silentLog,
	})]);
	assert.ok(serverOfPlainRank.ok);
	const other = openRemoteRank(serverOfPlainRank.value.address, access, systemClock);
	assert.deepEqual(await other.readState(), succeed(plain));
	other.close();
	await serverOfPlainRank.value.close();
});

void test('counts and experts are transferred completely', async () => {
	assert.deepEqual(await remote.readLoad(), succeed({state: STATE, counts: COUNTS}));
	assert.deepEqual(await remote.readExperts(), succeed(EXPERTS));
});

const everyOrder: readonly RankOrder[] = [
	{tag: 'prepare', version: 8, experts: [[[0, 1], [2]], [[3], [4, 5]]]},
	{tag: 'arm', version: 8, step: 50},
	{tag: 'disarm', version: 8},
	{tag: 'hold', step: 50},
	{tag: 'go', step: 50},
];

for (const order of everyOrder) {
	void test(`the order "${order.tag}" is transferred with its epoch`, async () => {
		orders.length = 0;
		const {tag} = await remote.order(order, 3);
		assert.equal(tag, 'accepted');
		assert.deepEqual(orders, [{order, epoch: 3}]);
	});
}

void test('outcomes of the engine are returned unchanged', async () => {
	for (const tag of ['refused', 'unknown', 'done', 'accepted'] as const) {
		outcome = {tag, detail: 'why'};
		// eslint-disable-next-line no-await-in-loop -- One order after the other.
		assert.deepEqual(await remote.order({tag: 'go', step: 1}, 3), outcome);
	}
});

void test('reading the state fails if the engine does not answer', async () => {
	isAnswering = false;
	const state = await remote.readState();
	isAnswering = true;
	assert.equal(state.ok, false);
	const again = await remote.readState();
	assert.equal(again.ok, true, 'a new connection is opened');
});

void test('without a token no state is returned and no order reaches the engine', async () => {
	const unauthorisedRank = openRemoteRank(address, createLinkAccess(undefined, undefined), systemClock);
	orders.length = 0;
	const state = await unauthorisedRank.readState();
	const refused = await unauthorisedRank.order({tag: 'go', step: 1}, 3);
	unauthorisedRank.close();
	assert.equal(state.ok, false);
	assert.equal(refused.tag, 'refused');
	assert.equal(orders.length, 0);
});

void test('the outcome of an order to an unreachable agent is unknown', async () => {
	const unreachableRank = openRemoteRank('127.0.0.1:1', access, systemClock);
	const lost = await unreachableRank.order({tag: 'go', step: 1}, 3);
	unreachableRank.close();
	assert.equal(lost.tag, 'unknown');
});

void test('a prepare order that names a base is sent as changes once the agent knows the base', async () => {
	const base = [[[0, 1], [2]], [[3], [4, 5]]];
	const next = [[[0, 1], [2, 0]], [[3], [4, 5]]];
	const last = [[[0, 1], [2, 0]], [[3, 4], [5]]];
	orders.length = 0;
	for (const [version, experts, from] of [[10, next, base], [12, last, next]] as const) {
		// eslint-disable-next-line no-await-in-loop -- One order after the other.
		const {tag} = await remote.order({
			tag: 'prepare', version, experts, base: from,
		}, 3);
		assert.equal(tag, 'accepted');
	}

	assert.deepEqual(orders.map(({order}) => order), [
		{tag: 'prepare', version: 10, experts: next}, {tag: 'prepare', version: 12, experts: last},
	], 'the engine gets whole maps, each once');
});

void test('an order to prepare that the engine leaves unanswered is sent again by the agent beside it, and answered once the experts are copied', async () => {
	let sends = 0;
	let prepared: number | undefined;
	const forgetful: RankEngine = {
		...engine,
		readState: async () => succeed({...STATE, preparedVersion: prepared}),
		async order() {
			sends++;
			if (sends < 3) {
				return new Promise<never>(() => {
					// No answer.
				});
			}

			setTimeout(() => {
				prepared = 8;
			}, 20);
			return {tag: 'accepted', detail: ''};
		},
	};
	const serverOfRank = await openLinkServer(access, systemClock, '127.0.0.1:0', [createRankService({
		engine: forgetful, access, clock: systemClock, log: silentLog,
	})]);
	assert.ok(serverOfRank.ok);
	const rank = openRemoteRank(serverOfRank.value.address, access, systemClock);
	const {tag} = await rank.order({tag: 'prepare', version: 8, experts: [[[0]]]}, 3);
	rank.close();
	await serverOfRank.value.close();
	assert.equal(tag, 'done');
	assert.equal(sends, 3);
});
