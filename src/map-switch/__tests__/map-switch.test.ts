import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fail, succeed} from '../../core/result.js';
import {createSeededRandom, type RandomSource} from '../../decisions/random.js';
import {silentLog} from '../../observability/log.js';
import type {GroupExperts, RankEngine} from '../../ports/rank-engine.js';
import type {Row, TableStore} from '../../ports/table-store.js';
import {watchForStalledSwitch} from '../../rank-agent/watch-for-stalled-switch.js';
import {recoverSwitch, hasUnfinishedSwitch} from '../recover-switch.js';
import {
	isGroupState, PLANNER_RANK, readGroupState, type GroupRanks,
} from '../group-ranks.js';
import {switchMap} from '../switch-map.js';
import {createSwitchTiming} from '../switch-timing.js';
import {createVersionSource} from '../version-row.js';
import {createFakeRankGroup, NO_FAULTS, type OrderFaults} from './fake-rank-group.js';

const RANKS = 3;
const SEEDS = 40;
/** Longest time for which a stopped planner may hold the group, in milliseconds of simulated time; calls take long in it. */
const MAX_HELD_MILLIS = 4000;
/** Ticks per randomized run. */
const RUN_TICKS = 600;

/** Creates experts whose content differs for each marker. */
function createExperts(marker: number): GroupExperts {
	return [Array.from({length: RANKS}, (_, rank) => [rank, marker + RANKS])];
}

/** Table with a single row and a version that increases with each write, as in the store. */
function createTable(): TableStore {
	let row: Row | undefined;
	let version = 0;
	return {
		read: async () => succeed(row),
		list: async () => succeed(row ? [row] : []),
		async transact({conditions, writes}) {
			const [condition] = conditions;
			const [write] = writes;
			if (condition && condition.version !== (row?.version ?? 0)) {
				return {ok: false, error: {tag: 'conflict', rows: row ? [row] : []}};
			}

			version++;
			row = {
				table: write?.table ?? '', key: write?.key ?? '', version, value: write?.value,
			};
			return succeed([row]);
		},
	};
}

async function readExperts(ranks: GroupRanks, withPlanner: boolean): Promise<GroupExperts | undefined> {
	const lists = await Promise.all(ranks.map(async (rank, i) => withPlanner || i !== PLANNER_RANK ? rank.readExperts() : succeed([[PLANNER_RANK]])));
	const layers = lists.map(list => list.ok ? list.value : undefined);
	return layers.includes(undefined) ? undefined : [layers.map(layer => layer?.[0] ?? [])];
}

type Planner = Readonly<{run: (signal: AbortSignal) => Promise<void>}> & Pick<ReturnType<ReturnType<typeof createFakeRankGroup>['openAccess']>, 'kill' | 'freeze' | 'thaw'>;

/** A planner that proposes one map after another and recovers unfinished switches. */
function createPlanner(group: ReturnType<typeof createFakeRankGroup>, table: TableStore, owner: string): Planner {
	const {
		ranks, kill, freeze, thaw,
	} = group.openAccess();
	const deps = {
		ranks, clock: group.clock, log: silentLog, timing: createSwitchTiming(), ...createVersionSource(table, silentLog, 'g', owner),
	};
	let marker = 0;
	return {
		kill,
		freeze,
		thaw,
		async run(signal) {
			/* eslint-disable no-await-in-loop -- One step after the other. */
			while (!signal.aborted) {
				const state = await readGroupState(ranks);
				if (isGroupState(state) && hasUnfinishedSwitch(state)) {
					await recoverSwitch({...deps, readExperts: async withPlanner => readExperts(ranks, withPlanner)}, signal);
				} else if (isGroupState(state)) {
					marker++;
					const experts = createExperts((owner.length * 1000) + marker);
					await switchMap(deps, {
						epoch: state.epoch, experts, base: experts, copyMillis: 10,
					});
				}

				await group.clock.sleep(20, signal);
			}
			/* eslint-enable no-await-in-loop */
		},
	};
}

async function runTicks(group: ReturnType<typeof createFakeRankGroup>, ticks: number): Promise<void> {
	for (let i = 0; i < ticks; i++) {
		// eslint-disable-next-line no-await-in-loop -- Ticks are sequential.
		await group.tick();
	}
}

type Scenario = Readonly<{
	name: string;
	faults: OrderFaults;
	planners: readonly string[];
	/** Disturbs the planners and the group during the run. */
	disturb: (planners: readonly Planner[], group: ReturnType<typeof createFakeRankGroup>, random: RandomSource) => Promise<void>;
}>;

const noDisturbance: Scenario['disturb'] = async (_planners, group) => {
	await runTicks(group, RUN_TICKS);
};

const scenarios: readonly Scenario[] = [
	{
		name: 'one planner, no faults', faults: NO_FAULTS, planners: ['a'], disturb: noDisturbance,
	},
	{
		name: 'late, lost, duplicated and dropped orders',
		faults: {
			lost: 0.1, late: 0.12, duplicated: 0.08, dropped: 0.04, stale: 0,
		},
		planners: ['a'],
		disturb: noDisturbance,
	},
	{
		name: 'two planners',
		faults: {
			lost: 0.03, late: 0.06, duplicated: 0.04, dropped: 0.02, stale: 0,
		},
		planners: ['a', 'bb'],
		disturb: noDisturbance,
	},
	{
		name: 'stale state readings',
		faults: {
			lost: 0.02, late: 0.05, duplicated: 0.02, dropped: 0.02, stale: 0.3,
		},
		planners: ['a', 'bb'],
		disturb: noDisturbance,
	},
	{
		name: 'a planner is killed at a random time and another takes over',
		faults: {
			lost: 0.02, late: 0.08, duplicated: 0.02, dropped: 0.02, stale: 0,
		},
		planners: ['a'],
		async disturb(planners, group, random) {
			await runTicks(group, Math.floor(random() * RUN_TICKS / 3));
			planners[0]?.kill();
			await runTicks(group, RUN_TICKS);
		},
	},
	{
		name: 'the group re-forms',
		faults: {
			lost: 0.02, late: 0.08, duplicated: 0.05, dropped: 0.02, stale: 0,
		},
		planners: ['a', 'bb'],
		async disturb(_planners, group, random) {
			await runTicks(group, Math.floor(random() * RUN_TICKS / 2));
			group.reform();
			await runTicks(group, RUN_TICKS / 2);
		},
	},
];

for (const {name, faults, planners: owners, disturb} of scenarios) {
	void test(`all ranks run each pass on the same map: ${name}`, async () => {
		let switches = 0;
		for (let seed = 1; seed <= SEEDS; seed++) {
			const random = createSeededRandom(seed);
			const group = createFakeRankGroup(RANKS, createExperts(0), random);
			const table = createTable();
			const stop = new AbortController();
			group.setFaults(faults);
			const planners = owners.map(owner => createPlanner(group, table, owner));
			for (const planner of planners) {
				void planner.run(stop.signal);
			}

			/* eslint-disable no-await-in-loop -- One run after the other. */
			await disturb(planners, group, random);
			stop.abort();
			for (const planner of planners) {
				planner.kill();
			}

			group.setFaults(NO_FAULTS);
			group.runLateOrders();
			const access = group.openAccess();
			const ending = new AbortController();
			await recoverSwitch({
				ranks: access.ranks, clock: group.clock, log: silentLog, readExperts: async withPlanner => readExperts(access.ranks, withPlanner),
			}, ending.signal);
			await runTicks(group, 40);
			/* eslint-enable no-await-in-loop */
			assert.deepEqual(group.readMixedPasses(), [], `seed ${seed}: passes on two maps`);
			assert.equal(group.readHeldStep(), undefined, `seed ${seed}: a hold remains`);
			switches += Math.max(...group.readMapVersions()) > 0 ? 1 : 0;
		}

		assert.ok(switches > 0, 'no run has switched the map');
	});
}

void test('a planner that is killed at any moment of a switch holds the group for a bounded time', async () => {
	let longestMillis = 0;
	for (let seed = 1; seed <= SEEDS; seed++) {
		const random = createSeededRandom(seed);
		const group = createFakeRankGroup(RANKS, createExperts(0), random);
		const stop = new AbortController();
		const planner = createPlanner(group, createTable(), 'a');
		const {ranks} = group.openAccess();
		void planner.run(stop.signal);
		void watchForStalledSwitch({
			clock: group.clock, log: silentLog, engine: ranks[1]!, readRanks: () => ranks, readMap: () => undefined, askPlanner: async () => false,
		}, stop.signal);
		/* eslint-disable no-await-in-loop -- One run after the other. */
		await runTicks(group, Math.floor(random() * RUN_TICKS / 2));
		planner.kill();
		const stoppedAtMillis = group.clock.monotonicMillis();
		while (group.readHeldStep() !== undefined && group.clock.monotonicMillis() - stoppedAtMillis < MAX_HELD_MILLIS) {
			await group.tick();
		}

		longestMillis = Math.max(longestMillis, group.clock.monotonicMillis() - stoppedAtMillis);
		stop.abort();
		await runTicks(group, 40);
		/* eslint-enable no-await-in-loop */
		assert.equal(group.readHeldStep(), undefined, `seed ${seed}: still held`);
		assert.deepEqual(group.readMixedPasses(), [], `seed ${seed}: passes on two maps`);
	}

	assert.ok(longestMillis < MAX_HELD_MILLIS, `held for ${longestMillis} ms`);
});

/** Access to a group whose planner rank is unreachable while `isAway` returns true. */
function openAccessWithoutPlannerRank(group: ReturnType<typeof createFakeRankGroup>, isAway: () => boolean): GroupRanks {
	return group.openAccess().ranks.map((rank, i): RankEngine => ({
		...rank,
		readState: async () => i === PLANNER_RANK && isAway() ? fail({tag: 'unavailable', detail: 'no answer'}) : rank.readState(),
		async readLoad() {
			const state = await rank.readState();
			return state.ok ? succeed({state: state.value, counts: Array.from({length: RANKS * 2}, () => 0)}) : state;
		},
		order: async (order, epoch) => i === PLANNER_RANK && isAway() ? {tag: 'unknown', detail: 'no answer'} : rank.order(order, epoch),
	}));
}

void test('a planner whose instance is frozen together with its engine holds the group for a bounded time', async () => {
	let undecided = 0;
	let released = 0;
	for (let seed = 1; seed <= SEEDS * 2; seed++) {
		const random = createSeededRandom(seed);
		const group = createFakeRankGroup(RANKS, createExperts(0), random);
		const stop = new AbortController();
		const planner = createPlanner(group, createTable(), 'a');
		let isAway = false;
		const ranks = openAccessWithoutPlannerRank(group, () => isAway);
		void planner.run(stop.signal);
		void watchForStalledSwitch({
			clock: group.clock, log: silentLog, engine: ranks[1]!, readRanks: () => ranks, readMap: () => undefined, askPlanner: async () => !isAway,
		}, stop.signal);
		/* eslint-disable no-await-in-loop -- One run after the other. */
		while (group.readHeldStep() === undefined || random() < 0.8) {
			await group.tick();
		}

		planner.freeze();
		isAway = true;
		const frozenAtMillis = group.clock.monotonicMillis();
		while (group.readHeldStep() !== undefined && group.clock.monotonicMillis() - frozenAtMillis < MAX_HELD_MILLIS) {
			await group.tick();
		}

		const isHeld = group.readHeldStep() !== undefined;
		const areOthersArmed = group.readArmed().every((version, rank) => rank === PLANNER_RANK || version !== undefined);
		assert.ok(!isHeld || areOthersArmed, `seed ${seed}: still held although another rank is not armed`);
		undecided += Number(isHeld);
		released += Number(!isHeld);
		isAway = false;
		planner.thaw();
		await runTicks(group, RUN_TICKS / 4);
		stop.abort();
		await runTicks(group, RUN_TICKS / 4);
		/* eslint-enable no-await-in-loop */
		assert.deepEqual(group.readMixedPasses(), [], `seed ${seed}: passes on two maps`);
	}

	assert.ok(released > undecided, `${released} released, ${undecided} undecided`);
});

/** Recovers switches without the planner's rank until the signal aborts; resolves to the number of recoveries completed. */
async function recoverRepeatedly(group: ReturnType<typeof createFakeRankGroup>, ranks: GroupRanks, signal: AbortSignal): Promise<number> {
	let ends = 0;
	/* eslint-disable no-await-in-loop -- Attempts are sequential. */
	while (!signal.aborted) {
		ends += Number(await recoverSwitch({
			ranks, clock: group.clock, log: silentLog, readExperts: async () => readExperts(ranks, false),
		}, signal));
		await group.clock.sleep(200, signal);
	}
	/* eslint-enable no-await-in-loop */

	return ends;
}

void test('recovery that cannot reach the planner\'s rank never makes a pass run on two maps while the planner continues', async () => {
	let interventions = 0;
	for (let seed = 1; seed <= SEEDS * 2; seed++) {
		const random = createSeededRandom(seed);
		const group = createFakeRankGroup(RANKS, createExperts(0), random);
		group.setFaults({
			lost: 0.15, late: 0.15, duplicated: 0.08, dropped: 0.1, stale: 0.1,
		});
		const stop = new AbortController();
		const planner = createPlanner(group, createTable(), 'a');
		const ranks = openAccessWithoutPlannerRank(group, () => true);
		void planner.run(stop.signal);
		const ended = new AbortController();
		const watching = recoverRepeatedly(group, ranks, ended.signal);
		/* eslint-disable no-await-in-loop -- One run after the other. */
		await runTicks(group, RUN_TICKS);
		stop.abort();
		ended.abort();
		await runTicks(group, RUN_TICKS / 4);
		group.runLateOrders();
		await runTicks(group, RUN_TICKS / 4);
		interventions += await watching;
		/* eslint-enable no-await-in-loop */
		assert.deepEqual(group.readMixedPasses(), [], `seed ${seed}: passes on two maps`);
	}

	assert.ok(interventions > SEEDS, `${interventions} interventions`);
});

/** Access to a group that calls `onSent` with the rank and the order after each order has taken effect. */
function watchOrders(ranks: GroupRanks, onSent: (rank: number, tag: string) => void): GroupRanks {
	return ranks.map((rank, i): RankEngine => ({
		...rank,
		async order(order, epoch) {
			const outcome = await rank.order(order, epoch);
			onSent(i, order.tag);
			return outcome;
		},
	}));
}

/** Runs a switch whose planner is frozen, its rank unreachable, after its `last`-th order that can block the group; undefined if it sends fewer. */
async function freezeAfterOrder(last: number): Promise<Readonly<{order: string; isHeld: boolean; mixed: readonly number[]}> | undefined> {
	const group = createFakeRankGroup(RANKS + 1, createExperts(0), createSeededRandom(last));
	const stop = new AbortController();
	const access = group.openAccess();
	let sent = 0;
	let order: string | undefined;
	const ranks = watchOrders(access.ranks, (rank, tag) => {
		sent += tag === 'prepare' ? 0 : 1;
		if (sent === last && order === undefined) {
			order = `${tag} ${rank}`;
			access.freeze();
		}
	});
	const isAway = () => order !== undefined;
	const reachable = openAccessWithoutPlannerRank(group, isAway);
	void watchForStalledSwitch({
		clock: group.clock, log: silentLog, engine: reachable[1]!, readRanks: () => reachable, readMap: () => undefined, askPlanner: async () => !isAway(),
	}, stop.signal);
	const experts = createExperts(1);
	void switchMap({
		ranks, clock: group.clock, log: silentLog, timing: createSwitchTiming(), ...createVersionSource(createTable(), silentLog, 'g', 'a'),
	}, {
		epoch: 1, experts, base: experts, copyMillis: 10,
	});
	await runTicks(group, RUN_TICKS * 2);
	const isHeld = group.readHeldStep() !== undefined;
	access.thaw();
	await runTicks(group, RUN_TICKS);
	stop.abort();
	await runTicks(group, 40);
	return order === undefined ? undefined : {order, isHeld, mixed: group.readMixedPasses()};
}

void test('a planner that freezes just after any of its orders holds the group for a bounded time, except while its own rank may be armed', async () => {
	const held: string[] = [];
	let orders = 0;
	for (let last = 1; ; last++) {
		// eslint-disable-next-line no-await-in-loop -- One run after the other.
		const end = await freezeAfterOrder(last);
		if (!end) {
			break;
		}

		orders++;
		assert.deepEqual(end.mixed, [], `after ${end.order}: passes on two maps`);
		held.push(...(end.isHeld ? [end.order] : []));
	}

	assert.ok(orders >= RANKS + 3, `${orders} orders: hold, one arm for each rank, go`);
	assert.ok(held.every(order => ['arm 1', `arm ${PLANNER_RANK}`].includes(order)), `held for the whole freeze after ${held.join(', ')}`);
});
