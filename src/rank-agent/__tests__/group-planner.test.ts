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
const TICKS = 1500;

/** Experts distributed round-robin, with one free slot per rank. */
const first: GroupExperts = [Array.from({length: RANKS}, (_, rank) => [rank, rank + RANKS])];

/** Adds load counts to the ranks of a group, as if requests chose experts in proportion to `shares`. */
function addCounts(ranks: readonly RankEngine[], shares: readonly number[], isIdle: () => boolean): readonly RankEngine[] {
	return ranks.map(rank => {
		let readings = 0;
		return {
			...rank,
			async readLoad() {
				const state = await rank.readState();
				readings += Number(!isIdle());
				return state.ok ? succeed({state: state.value, counts: shares.map(share => share * readings * 100)}) : state;
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

/** Plans a group for a number of ticks; at tick `reformTick` it re-forms and its ranks become idle. */
async function run(shares: readonly number[], layout = LAYOUT, initial = first, reformTick = Infinity): Promise<Run> {
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
		chooseStep: (_epoch: number, earliestStep: number) => earliestStep,
	};
	startPlanner({
		group, ranks, layout, versions,
	}, stop.signal);
	for (let i = 0; i < TICKS; i++) {
		if (i === reformTick) {
			isIdle = true;
			group.reform();
		}

		// eslint-disable-next-line no-await-in-loop -- Ticks are sequential.
		await group.tick();
	}

	stop.abort();
	return {versions: group.readMapVersions(), mixed: group.readMixedPasses(), experts: group.readExperts()};
}

void test('a hot expert is replicated to other ranks, and all ranks switch at the same pass', async () => {
	const {versions, mixed, experts} = await run([50, 1, 1, 1, 1, 1, 1, 1]);
	assert.ok(versions.every(version => version > 0 && version === versions[0]));
	assert.deepEqual(mixed, []);
	const holders = (experts[0] ?? []).filter(held => held.includes(0)).length;
	assert.ok(holders > 1, `${holders} ranks hold the hot expert`);
});

void test('an even load does not change the map', async () => {
	const {versions} = await run([1, 1, 1, 1, 1, 1, 1, 1]);
	assert.deepEqual(versions, [0, 0, 0, 0]);
});

void test('a re-formed group gets a map for the load it had before', async () => {
	const hot = [50, 1, 1, 1, 1, 1, 1, 1];
	const {versions, mixed, experts} = await run(hot, LAYOUT, first, TICKS / 2);
	assert.ok(versions.every(version => version > 0), 'the idle group shows no load of its own');
	assert.deepEqual(mixed, []);
	assert.ok((experts[0] ?? []).filter(held => held.includes(0)).length > 1);
});

void test('one switch changes as many layers as can be copied within its copy time', async () => {
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

void test('while no version can be allocated, the planner pauses between requests to the store', async () => {
	const group = createFakeRankGroup(RANKS, first, createSeededRandom(4));
	const ranks = addCounts(group.openAccess().ranks, [50, 1, 1, 1, 1, 1, 1, 1], () => false);
	const stop = new AbortController();
	let asked = 0;
	const versions = {
		async takeVersion() {
			asked++;
			return undefined;
		},
		chooseStep: () => undefined,
	};
	startPlanner({
		group, ranks, layout: LAYOUT, versions,
	}, stop.signal);
	for (let i = 0; i < TICKS; i++) {
		// eslint-disable-next-line no-await-in-loop -- Ticks are sequential.
		await group.tick();
	}

	stop.abort();
	const seconds = group.clock.monotonicMillis() / 1000;
	assert.ok(asked > 0);
	assert.ok(asked / seconds <= 4, `${asked} times in ${seconds} s`);
});

/** Layout of so many experts that a few ranks are sampled, a first map, and a load in which one expert of each layer is in demand. */
function createLargeLayout(): Readonly<{layout: ExpertLayout; initial: GroupExperts; shares: readonly number[]}> {
	const layers = 25;
	const experts = 256;
	return {
		layout: {
			layers, experts, slotsPerRank: 80, maxLoadsPerRank: 2, copyMillis: 4,
		},
		initial: Array.from({length: layers}, () => Array.from({length: RANKS}, (_, rank) =>
			Array.from({length: experts / RANKS}, (__, turn) => rank + (turn * RANKS)))),
		shares: Array.from({length: layers * experts}, (_, i) => i % experts === 0 ? 50 : 1),
	};
}

/** Time for which the experts are certainly copied, in milliseconds; the planner waits longer for an order that is not answered. */
const COPY_MILLIS = 1000;

void test('a large group is sampled while its experts are copied, so that a change of popularity is not taken for one load with the load before', async () => {
	const {layout, initial, shares} = createLargeLayout();
	const group = createFakeRankGroup(RANKS, initial, createSeededRandom(4));
	const stop = new AbortController();
	let copyingSinceMillis: number | undefined;
	let readings = 0;
	const ranks = addCounts(group.openAccess().ranks, shares, () => false).map((rank): RankEngine => ({
		...rank,
		async readLoad() {
			const isCopying = copyingSinceMillis !== undefined && group.clock.monotonicMillis() - copyingSinceMillis < COPY_MILLIS;
			readings += Number(isCopying);
			if (isCopying) {
				stop.abort();
			}

			return rank.readLoad();
		},
		async order(order, epoch) {
			copyingSinceMillis ??= order.tag === 'prepare' ? group.clock.monotonicMillis() : undefined;
			return order.tag === 'prepare'
				? new Promise<never>(() => {
					// The order is never answered.
				})
				: rank.order(order, epoch);
		},
	}));
	startPlanner({
		group, ranks, layout, versions: {takeVersion: async () => 2, chooseStep: (_epoch, earliestStep) => earliestStep},
	}, stop.signal);
	for (let i = 0; i < TICKS && !stop.signal.aborted; i++) {
		// eslint-disable-next-line no-await-in-loop -- Ticks are sequential.
		await group.tick();
	}

	stop.abort();
	assert.ok(copyingSinceMillis !== undefined, 'a switch has begun');
	assert.ok(readings > 0, 'no reading while the experts were copied');
});

const repeatedHoldCases = [
	{
		size: 'small', layout: LAYOUT, initial: first, shares: [50, 1, 1, 1, 1, 1, 1, 1],
	},
	{size: 'large', ...createLargeLayout()},
];

for (const {size, layout, initial, shares} of repeatedHoldCases) {
	void test(`a hold that is executed again after its release, before its pass, does not stop a ${size} group`, async () => {
		const group = createFakeRankGroup(RANKS, initial, createSeededRandom(4));
		const {ranks: access} = group.openAccess();
		let heldStep: number | undefined;
		const repeated: number[] = [];
		const ranks = addCounts(access, shares, () => false).map((rank): RankEngine => ({
			...rank,
			async order(order, epoch) {
				const outcome = await rank.order(order, epoch);
				heldStep = order.tag === 'hold' && outcome.tag !== 'refused' ? order.step : heldStep;
				if (order.tag === 'go' && order.step === heldStep && repeated.length === 0) {
					const late = await rank.order({tag: 'hold', step: heldStep}, epoch);
					repeated.push(...(late.tag === 'refused' ? [] : [heldStep]));
					// The release counts as executed, so the planner doesn't look for its effect.
					return {tag: 'done', detail: ''};
				}

				return outcome;
			},
		}));
		const stop = new AbortController();
		let version = 0;
		const versions = {
			async takeVersion() {
				version += 2;
				return version;
			},
			chooseStep: (_epoch: number, earliestStep: number) => earliestStep + 100,
		};
		startPlanner({
			group, ranks, layout, versions,
		}, stop.signal);
		let heldTicks = 0;
		for (let i = 0; i < TICKS && (repeated.length === 0 || group.readHeldStep() !== undefined); i++) {
		// eslint-disable-next-line no-await-in-loop -- Ticks are sequential.
			await group.tick();
			heldTicks += Number(repeated.length > 0);
		}

		stop.abort();
		assert.equal(repeated.length, 1, 'the hold was executed again');
		assert.equal(group.readHeldStep(), undefined, `held for ${heldTicks} ticks`);
		assert.deepEqual(group.readMixedPasses(), []);
	});
}
