import assert from 'node:assert/strict';
import {test} from 'node:test';
import {succeed} from '../../core/result.js';
import {createSeededRandom} from '../../decisions/random.js';
import {createFakeRankGroup} from '../../map-switch/__tests__/fake-rank-group.js';
import {silentLog} from '../../observability/log.js';
import type {GroupExperts, RankEngine} from '../../ports/rank-engine.js';
import type {ExpertLayout} from '../../routing/routing-configuration.js';
import {planGroup, type GroupPlannerDeps} from '../group-planner.js';

const LAYOUT: ExpertLayout = {
	layers: 1, experts: 8, slotsPerRank: 3, maxLoadsPerRank: 1, copyMillis: 20,
};
const RANKS = 4;
const TURNS = 1500;

/** Experts in turn, with a free slot each. */
const first: GroupExperts = [Array.from({length: RANKS}, (_, rank) => [rank, rank + RANKS])];

/** Ranks of the group whose requests choose experts by `shares`. */
function addCounts(ranks: readonly RankEngine[], shares: readonly number[], isIdle: () => boolean): readonly RankEngine[] {
	return ranks.map(rank => {
		let looks = 0;
		return {
			...rank,
			async readLoad() {
				const state = await rank.readState();
				looks += Number(!isIdle());
				return state.ok ? succeed({state: state.value, counts: shares.map(share => share * looks * 100)}) : state;
			},
		};
	});
}

type Group = ReturnType<typeof createFakeRankGroup>;

type PlannerTerms = Readonly<{group: Group; ranks: readonly RankEngine[]; layout: ExpertLayout; versions: GroupPlannerDeps['versions']}>;

function startPlanner({group, ranks, layout, versions}: PlannerTerms, signal: AbortSignal): void {
	void planGroup({
		clock: group.clock, log: silentLog, readRanks: () => ranks, readLayout: () => layout, versions,
	}, signal);
}

type Run = Readonly<{versions: readonly number[]; mixed: readonly number[]; experts: GroupExperts}>;

/** Plans a group; `reformTurn` is the turn at which it forms anew, and from which on its ranks are idle. */
async function run(shares: readonly number[], layout = LAYOUT, initial = first, reformTurn = Infinity): Promise<Run> {
	const group = createFakeRankGroup(RANKS, initial, createSeededRandom(4));
	let isIdle = false;
	const ranks = addCounts(group.openAccess().ranks, shares, () => isIdle);
	const stop = new AbortController();
	let version = 0;
	const versions = {
		async takeVersion() {
			version += 2;
			return version;
		},
		reserveStep: async () => true,
	};
	startPlanner({
		group, ranks, layout, versions,
	}, stop.signal);
	for (let i = 0; i < TURNS; i++) {
		if (i === reformTurn) {
			isIdle = true;
			group.reform();
		}

		// eslint-disable-next-line no-await-in-loop -- Turns come one after the other.
		await group.tick();
	}

	stop.abort();
	return {versions: group.readMapVersions(), mixed: group.readMixedPasses(), experts: group.readExperts()};
}

void test('a hot expert gets copies at other ranks, all at the same pass', async () => {
	const {versions, mixed, experts} = await run([50, 1, 1, 1, 1, 1, 1, 1]);
	assert.ok(versions.every(version => version > 0 && version === versions[0]));
	assert.deepEqual(mixed, []);
	const holders = (experts[0] ?? []).filter(held => held.includes(0)).length;
	assert.ok(holders > 1, `${holders} ranks hold the hot expert`);
});

void test('an even load leaves the map as it is', async () => {
	const {versions} = await run([1, 1, 1, 1, 1, 1, 1, 1]);
	assert.deepEqual(versions, [0, 0, 0, 0]);
});

void test('a group that forms anew gets a map for the load that it had', async () => {
	const hot = [50, 1, 1, 1, 1, 1, 1, 1];
	const {versions, mixed, experts} = await run(hot, LAYOUT, first, TURNS / 2);
	assert.ok(versions.every(version => version > 0), 'the idle group shows no load of its own');
	assert.deepEqual(mixed, []);
	assert.ok((experts[0] ?? []).filter(held => held.includes(0)).length > 1);
});

void test('a switch changes as many layers as can be copied in its time', async () => {
	const layers = 24;
	const wide: ExpertLayout = {...LAYOUT, layers, maxLoadsPerRank: 2};
	const initial: GroupExperts = Array.from({length: layers}, () => first[0] ?? []);
	const shares = Array.from({length: layers}, () => [10, 1, 1, 1, 1, 1, 1, 1]).flat();
	const {versions, mixed, experts} = await run(shares, wide, initial);
	assert.ok(versions.every(version => version > 0));
	assert.deepEqual(mixed, []);
	const spread = experts.filter(ranks => ranks.filter(held => held.includes(0)).length > 1).length;
	assert.ok(spread >= layers / 2, `${spread} layers`);
});

void test('while the store gives no versions, the planner does not ask it without a pause', async () => {
	const group = createFakeRankGroup(RANKS, first, createSeededRandom(4));
	const ranks = addCounts(group.openAccess().ranks, [50, 1, 1, 1, 1, 1, 1, 1], () => false);
	const stop = new AbortController();
	let asked = 0;
	const versions = {
		async takeVersion() {
			asked++;
			return undefined;
		},
		reserveStep: async () => false,
	};
	startPlanner({
		group, ranks, layout: LAYOUT, versions,
	}, stop.signal);
	for (let i = 0; i < TURNS; i++) {
		// eslint-disable-next-line no-await-in-loop -- Turns come one after the other.
		await group.tick();
	}

	stop.abort();
	const seconds = group.clock.monotonicMillis() / 1000;
	assert.ok(asked > 0);
	assert.ok(asked / seconds <= 4, `${asked} times in ${seconds} s`);
});
