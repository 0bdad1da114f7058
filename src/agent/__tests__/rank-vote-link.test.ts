import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {createEnginePort, createFakeRankEngine, type FakeRankEngine} from '../../expert-map/__tests__/fake-rank-engine.js';
import {createGrpcRankClient} from '../../planner/grpc-rank-client.js';
import {startAgent} from '../start-agent.js';
import {createFakeContext, createSettings} from './fake-context.js';

const GROUP = 'group-1';

async function startRank(t: TestContext, rank: number, engine: FakeRankEngine) {
	const {ctx} = createFakeContext(`run-of-${rank}`, {token: 'secret'});
	const settings = createSettings({
		instanceId: `agent-${rank}`, service: 'model', group: GROUP, rank, backend: {kind: 'engine', url: 'http://127.0.0.1:1'},
	});
	const port = createEnginePort(engine, async (_label, effect) => effect());
	const started = await startAgent(ctx, settings, {kind: 'engine', engine: port});
	assert.ok(started.ok);
	t.after(async () => ctx.lifeCycle.shutdown());
	return {
		ctx, address: started.value.linkAddress, member: {
			rank, agentId: `agent-${rank}`, agentIncarnation: ctx.incarnation, address: started.value.linkAddress,
		},
	};
}

test('one expert map: two agents that vote over their link ports commit, although only one received the proposal', async t => {
	const engines = [createFakeRankEngine(true), createFakeRankEngine(true)];
	const agents = await Promise.all(engines.map(async (engine, rank) => startRank(t, rank, engine)));
	const {ctx, address} = agents[0]!;
	const peers = createGrpcRankClient(ctx.linkAccess, ctx.clock);
	t.after(peers.close);
	const proposal = {
		group: GROUP, groupIncarnation: 'g1', epoch: 9, fencingToken: 1, fromStep: 50, members: agents.map(agent => agent.member), map: {layers: []},
	};
	for (let outcome = 'unknown'; outcome === 'unknown';) {
		// eslint-disable-next-line no-await-in-loop
		const report = await peers.propose(address, proposal);
		assert.ok(report.ok);
		outcome = report.value.outcome;
		assert.notEqual(outcome, 'aborted');
	}

	const state = await peers.readRank(address, GROUP);
	assert.deepEqual(state.ok && [state.value.groupIncarnation, state.value.rank, state.value.agentIncarnation], ['g1', 0, 'run-of-0']);
	while (engines.some(engine => engine.done.every(({order}) => order.tag !== 'take_map'))) {
		// eslint-disable-next-line no-await-in-loop
		await ctx.clock.sleep(10);
	}
});

test('one expert map: a proposal without the token is refused and changes nothing', async t => {
	const engine = createFakeRankEngine(true);
	const {ctx, address, member} = await startRank(t, 0, engine);
	const unauthorised = createGrpcRankClient(createFakeContext('stranger').ctx.linkAccess, createManualClock(new Date()));
	t.after(unauthorised.close);
	const report = await unauthorised.propose(address, {
		group: GROUP, groupIncarnation: 'g1', epoch: 9, fencingToken: 1, fromStep: 50, members: [member], map: {layers: []},
	});
	assert.ok(!report.ok);
	assert.deepEqual(engine.done, []);
	const counted = await ctx.metrics.rejectedConnections.get();
	assert.deepEqual(counted.values.map(value => value.labels.reason), ['unauthorised']);
});
