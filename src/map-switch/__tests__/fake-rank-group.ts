import {setImmediate as nextTurn} from 'node:timers/promises';
import {match} from 'ts-pattern';
import type {Clock} from '../../core/clock.js';
import {fail, succeed} from '../../core/result.js';
import {pickOne, type RandomSource} from '../../decisions/random.js';
import type {
	GroupExperts, OrderOutcome, RankEngine, RankOrder, RankState,
} from '../../ports/rank-engine.js';

type Rank = {
	mapVersion: number;
	experts: GroupExperts;
	armed: {version: number; step: number} | undefined;
	prepared: {version: number; experts: GroupExperts} | undefined;
	highest: number;
	heldStep: number | undefined;
};

/** Probabilities of order faults, each from 0 to 1. */
export type OrderFaults = Readonly<{
	/** Executed, but the answer is lost. */
	lost: number;
	/** Executed later, without an answer. */
	late: number;
	/** Executed twice, the second time later. */
	duplicated: number;
	/** Never executed, without an answer. */
	dropped: number;
	/** A state reading that returns an earlier state. */
	stale: number;
}>;

export const NO_FAULTS: OrderFaults = {
	lost: 0, late: 0, duplicated: 0, dropped: 0, stale: 0,
};

/** In-process rank group whose passes and late orders happen at random times. */
export type FakeRankGroup = Readonly<{
	/** Access for one proposer; after `kill` its calls never return. */
	openAccess: () => Readonly<{
		ranks: readonly RankEngine[];
		kill: () => void;
		/** Its calls block until `thaw`. */
		freeze: () => void;
		thaw: () => void;
	}>;
	/** Simulated time: each sleep may begin passes and execute late orders. */
	clock: Clock;
	setFaults: (faults: OrderFaults) => void;
	/** Passes that began while ranks had different maps. */
	readMixedPasses: () => readonly number[];
	readStep: () => number;
	readMapVersions: () => readonly number[];
	/** Version that each rank is armed with. */
	readArmed: () => ReadonlyArray<number | undefined>;
	readHeldStep: () => number | undefined;
	/** Active experts of all ranks, as rank 0 has them. */
	readExperts: () => GroupExperts;
	/** Executes all late orders. */
	runLateOrders: () => void;
	/** Advances the simulation by one tick. */
	tick: () => Promise<void>;
	/** Re-forms the group in a new epoch, with all state lost. */
	reform: () => void;
}>;

/** Share of ticks in which a pass begins. */
const PASS_PROBABILITY = 0.35;
/** Share of ticks in which a late order is executed. */
const LATE_PROBABILITY = 0.15;
/** Share of the orders executed at once whose answer says so. */
const DONE_PROBABILITY = 0.5;
const MILLIS_PER_TICK = 8;

/** Creates a group that does nothing until it is ticked. */
export function createFakeRankGroup(size: number, firstExperts: GroupExperts, random: RandomSource): FakeRankGroup {
	const createRank = (): Rank => ({
		mapVersion: 0, experts: firstExperts, armed: undefined, prepared: undefined, highest: 0, heldStep: undefined,
	});
	let ranks = Array.from({length: size}, () => createRank());
	let epoch = 1;
	let step = 0;
	let nowMillis = 0;
	let faults = NO_FAULTS;
	let lateOrders: ReadonlyArray<() => void> = [];
	const mixedPasses: number[] = [];
	const formerStates = new Map<number, RankState>();

	function beginPass(): void {
		if (ranks.some(({heldStep}) => heldStep === step + 1)) {
			return;
		}

		step++;
		for (const rank of ranks) {
			if (rank.armed?.step === step) {
				rank.mapVersion = rank.armed.version;
				rank.experts = rank.prepared?.experts ?? rank.experts;
				rank.armed = undefined;
				rank.prepared = undefined;
			}
		}

		const [first] = ranks;
		if (ranks.some(rank => rank.mapVersion !== first?.mapVersion || JSON.stringify(rank.experts) !== JSON.stringify(first.experts))) {
			mixedPasses.push(step);
		}
	}

	function prepare(rank: Rank, {version, experts}: Extract<RankOrder, {tag: 'prepare'}>): boolean {
		if (version <= rank.highest || rank.armed) {
			return rank.prepared?.version === version;
		}

		rank.highest = version;
		rank.prepared = {version, experts};
		return true;
	}

	function arm(rank: Rank, order: Extract<RankOrder, {tag: 'arm'}>): boolean {
		if (rank.armed) {
			return rank.armed.version === order.version && rank.armed.step === order.step;
		}

		if (rank.prepared?.version !== order.version || order.step <= step) {
			return false;
		}

		rank.armed = {version: order.version, step: order.step};
		return true;
	}

	function disarm(rank: Rank, version: number): boolean {
		if (rank.armed?.version !== version) {
			return rank.mapVersion !== version;
		}

		rank.armed = undefined;
		return true;
	}

	function hold(rank: Rank, heldStep: number): boolean {
		if (rank.heldStep !== undefined || heldStep <= step) {
			return rank.heldStep === heldStep;
		}

		rank.heldStep = heldStep;
		return true;
	}

	function release(rank: Rank, heldStep: number): boolean {
		if (rank.heldStep !== heldStep) {
			return false;
		}

		rank.heldStep = undefined;
		return true;
	}

	function executeOrder(rank: Rank, order: RankOrder, orderEpoch: number): OrderOutcome {
		const isDone = orderEpoch === epoch && match(order)
			.with({tag: 'prepare'}, given => prepare(rank, given))
			.with({tag: 'arm'}, given => arm(rank, given))
			.with({tag: 'disarm'}, ({version}) => disarm(rank, version))
			.with({tag: 'hold'}, given => hold(rank, given.step))
			.with({tag: 'go'}, given => release(rank, given.step))
			.exhaustive();
		return isDone ? {tag: random() < DONE_PROBABILITY ? 'done' : 'accepted', detail: ''} : {tag: 'refused', detail: order.tag};
	}

	function readState(index: number): RankState {
		const rank = ranks[index] ?? createRank();
		return {
			group: {
				name: 'g', rank: index, size, epoch, isOpen: true,
			},
			step,
			mapVersion: rank.mapVersion,
			preparedVersion: rank.prepared?.version,
			armed: rank.armed,
			heldStep: rank.heldStep,
			slowFactor: 1,
			hasWork: true,
		};
	}

	async function tick(): Promise<void> {
		nowMillis += MILLIS_PER_TICK;
		if (random() < PASS_PROBABILITY) {
			beginPass();
		}

		if (lateOrders.length > 0 && random() < LATE_PROBABILITY) {
			const chosen = pickOne(lateOrders, random);
			lateOrders = lateOrders.filter(order => order !== chosen);
			chosen?.();
		}

		await nextTurn();
	}

	function openAccess() {
		const proposer = {isDead: false, isFrozen: false};
		async function reachRank(): Promise<void> {
			await tick();
			while (proposer.isFrozen) {
				// eslint-disable-next-line no-await-in-loop -- Waits until the proposer is unfrozen.
				await nextTurn();
			}

			if (proposer.isDead) {
				await new Promise<never>(() => {
					// Never settles: the proposer was killed.
				});
			}
		}

		const access = ranks.map((_, index): RankEngine => ({
			async readState() {
				await reachRank();
				const state = readState(index);
				const shown = random() < faults.stale ? formerStates.get(index) ?? state : state;
				formerStates.set(index, state);
				await reachRank();
				return succeed(shown);
			},
			async readLoad() {
				await reachRank();
				return fail({tag: 'unavailable', detail: 'no counts here'});
			},
			async readExperts() {
				await reachRank();
				return succeed((ranks[index]?.experts ?? []).map(layer => layer[index] ?? []));
			},
			async order(order, orderEpoch) {
				await reachRank();
				const run = () => executeOrder(ranks[index] ?? createRank(), order, orderEpoch);
				const runLate = () => {
					run();
				};

				const chance = random();
				const {lost, late: lateProbability, duplicated, dropped} = faults;
				if (chance < dropped) {
					return {tag: 'unknown', detail: 'dropped'};
				}

				if (chance < dropped + lateProbability) {
					lateOrders = [...lateOrders, runLate];
					return {tag: 'unknown', detail: 'late'};
				}

				const outcome = run();
				if (chance < dropped + lateProbability + duplicated) {
					lateOrders = [...lateOrders, runLate];
				}

				await reachRank();
				return chance > 1 - lost ? {tag: 'unknown', detail: 'answer lost'} : outcome;
			},
		}));
		return {
			ranks: access,
			kill() {
				proposer.isDead = true;
			},
			freeze() {
				proposer.isFrozen = true;
			},
			thaw() {
				proposer.isFrozen = false;
			},
		};
	}

	return {
		openAccess,
		clock: {
			now: () => new Date(nowMillis),
			monotonicMillis: () => nowMillis,
			async sleep(millis, signal) {
				const dueMillis = nowMillis + millis;
				while (nowMillis < dueMillis && signal?.aborted !== true) {
					// eslint-disable-next-line no-await-in-loop -- Ticks are sequential.
					await tick();
				}
			},
		},
		setFaults(next) {
			faults = next;
		},
		readMixedPasses: () => mixedPasses,
		readStep: () => step,
		readMapVersions: () => ranks.map(({mapVersion}) => mapVersion),
		readArmed: () => ranks.map(({armed}) => armed?.version),
		readHeldStep: () => ranks.find(({heldStep}) => heldStep !== undefined)?.heldStep,
		readExperts: () => ranks[0]?.experts ?? firstExperts,
		runLateOrders() {
			for (const order of lateOrders) {
				order();
			}

			lateOrders = [];
		},
		tick,
		reform() {
			epoch++;
			ranks = Array.from({length: size}, () => createRank());
		},
	};
}
