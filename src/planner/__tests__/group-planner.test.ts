import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate} from 'node:timers/promises';
import {createConfigurationHolder} from '../../configuration/configuration-holder.js';
import {createManualClock} from '../../core/manual-clock.js';
import {succeed} from '../../core/result.js';
import {createScriptedTableStore} from '../../lease/__tests__/scripted-table-store.js';
import {silentLog} from '../../observability/log.js';
import {createMetrics} from '../../observability/metrics.js';
import type {RankState} from '../../wire/generated/vote.js';
import {runGroupPlanner} from '../group-planner.js';
import {createFakeRankGroup} from './fake-rank-group.js';

const TICK_MILLIS = 100;

function setUp() {
	const clock = createManualClock();
	const group = createFakeRankGroup();
	const table = createScriptedTableStore();
	const metrics = createMetrics();
	const configuration = createConfigurationHolder();
	configuration.offer({
		version: 1,
		changeId: 'c',
		changedBy: 't',
		plannedStops: [],
		targets: {
			services: [], classes: [], accounts: [], groups: [{name: 'g', service: 'model', favour: 'skew'}],
		},
	});
	const controller = new AbortController();
	const ctx = {
		clock, table, metrics, configuration, log: silentLog, instances: {list: async () => succeed(group.listed)},
	};
	const options = {
		instanceId: 'entry-1', weightLoadsPerSecond: 20, planIntervalMillis: 1000, group: 'g',
	};
	const task = runGroupPlanner({ctx, rankClient: group, signal: controller.signal}, options);

	async function run(millis: number): Promise<void> {
		for (let passed = 0; passed < millis; passed += TICK_MILLIS) {
			clock.advance(TICK_MILLIS);
			// eslint-disable-next-line no-await-in-loop
			await setImmediate();
		}
	}

	async function stop(): Promise<void> {
		controller.abort();
		await task;
	}

	return {
		group, table, metrics, run, stop,
	};
}

test('a fresh group gets its first map from step 0, then a better one at a step ahead', async () => {
	const {group, metrics, run, stop} = setUp();
	await run(30_000);
	await stop();
	const [first, second] = group.proposals;
	assert.ok(first && second);
	assert.equal(first.fromStep, 0);
	assert.equal(first.epoch, 1_000_001);
	assert.equal(first.fencingToken, 1);
	assert.deepEqual(first.members.map(({agentIncarnation}) => agentIncarnation), ['run-0', 'run-1', 'run-2', 'run-3']);
	assert.equal(second.epoch, 1_000_002);
	assert.ok(second.fromStep >= (group.proposalSteps[1] ?? 0) + 150, 'loading and voting take longer than 1.5 s at 10 ms a step');
	const outcomes = await metrics.mapOutcomes.get();
	assert.equal(outcomes.values.find(({labels}) => labels.outcome === 'committed')?.value, group.proposals.length);
});

const unplannable: ReadonlyArray<Readonly<{name: string; change: (state: RankState) => RankState | undefined}>> = [
	{name: 'a silent rank', change: state => state.rank === 2 ? undefined : state},
	{name: 'a pending vote', change: state => ({...state, pending: state.rank === 1})},
	{name: 'two incarnations', change: state => ({...state, groupIncarnation: state.rank === 3 ? 'i2' : 'i1'})},
	{name: 'two maps', change: state => ({...state, mapEpoch: state.rank})},
	{name: 'no reported experts', change: state => ({...state, layers: []})},
];

for (const {name, change} of unplannable) {
	test(`nothing is proposed to a group with ${name}`, async () => {
		const {group, run, stop} = setUp();
		group.change = change;
		await run(10_000);
		await stop();
		assert.equal(group.proposals.length, 0);
	});
}

test('nothing is proposed to a group of which a rank is not listed', async () => {
	const {group, run, stop} = setUp();
	group.listed.splice(1, 1);
	await run(10_000);
	await stop();
	assert.equal(group.proposals.length, 0);
});

test('a planner whose lease lapsed proposes nothing until it holds one again, and then with a larger token', async () => {
	const {group, table, run, stop} = setUp();
	await run(1000);
	table.script(...Array.from({length: 40}, () => 'unavailable' as const));
	await run(14_000);
	const before = group.proposals.length;
	group.change = state => ({...state, mapEpoch: 0, map: {layers: []}});
	await run(8000);
	assert.equal(group.proposals.length, before);
	table.script();
	await run(10_000);
	await stop();
	assert.ok((group.proposals.at(-1)?.fencingToken ?? 0) > 1);
});

test('counts that are not numbers are refused and counted', async () => {
	const {group, metrics, run, stop} = setUp();
	await run(10_000);
	const before = group.proposals.length;
	group.change = state => ({...state, layers: [{tokens: [Number.NaN, -1, 1, 1, 1, 1, 1, 9e9]}]});
	await run(10_000);
	await stop();
	assert.equal(group.proposals.length, before);
	const dropped = await metrics.droppedFrames.get();
	assert.ok((dropped.values.find(({labels}) => labels.reason === 'load_bad_count')?.value ?? 0) > 0);
});

test('a proposal that stays undecided is sent again, and given up after a while', async () => {
	const {group, metrics, run, stop} = setUp();
	group.roundsToCommit = 1_000_000;
	await run(20_000);
	await stop();
	const outcomes = await metrics.mapOutcomes.get();
	assert.ok((outcomes.values.find(({labels}) => labels.outcome === 'undecided')?.value ?? 0) > 0);
});
