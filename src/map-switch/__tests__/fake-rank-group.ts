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

/** How often orders go wrong; each from 0 to 1. */
export type OrderFaults = Readonly<{
	/** Carried out, but the answer is lost. */
	lost: number;
	/** Carried out later, without an answer. */
	late: number;
	/** Carried out twice, the second time later. */
	duplicated: number;
	/** Never carried out, without an answer. */
	dropped: number;
	/** A report that shows an earlier state. */
	stale: number;
}>;

/** No faults. */
export const NO_FAULTS: OrderFaults = {
	lost: 0, late: 0, duplicated: 0, dropped: 0, stale: 0,
};

/** A rank group in this process, whose passes and late orders happen at random moments. */
export type FakeRankGroup = Readonly<{
	/** Access for one proposer; after `kill` its calls never return. The instance of a frozen one answers nobody. */
	openAccess: () => Readonly<{
		ranks: readonly RankEngine[];
		kill: () => void;
		/** Until `thaw` its calls stand still. */
		freeze: () => void;
		thaw: () => void;
	}>;
	/** Time that passes with the group: each sleep may begin passes and carry out late orders. */
	clock: Clock;
	setFaults: (faults: OrderFaults) => void;
	/** Passes that began with ranks on different maps. */
	readMixedPasses: () => readonly number[];
	readStep: () => number;
	readMapVersions: () => readonly number[];
	/** Version with which each rank is armed. */
	readArmed: () => ReadonlyArray<number | undefined>;
	readHeldStep: () => number | undefined;
	/** Experts in force at the anchor rank's map. */
	readExperts: () => GroupExperts;
	/** Carries out what is late. */
	runLateOrders: () => void;
	/** Lets time pass. */
	tick: () => Promise<void>;
	/** The group breaks and forms anew; everything is forgotten. */
	reform: () => void;
}>;

/** Part of the turns in which a pass begins. */
const PASS_CHANCE = 0.35;
/** Part of the turns in which a late order is carried out. */
const LATE_CHANCE = 0.15;
const MILLIS_PER_TURN = 8;

/** Creates a group that stands still until turns are taken. */
export function createFakeRankGroup(size: number, firstExperts: GroupExperts, random: RandomSource): FakeRankGroup {
	const createRank = (): Rank => ({
		mapVersion: 0, experts: firstExperts, armed: undefined, prepared: undefined, highest: 0, heldStep: undefined,
	});
	let ranks = Array.from({length: size}, () => createRank());
	let epoch = 1;
	let step = 0;
	let nowMillis = 0;
	let faults = NO_FAULTS;
	let late: ReadonlyArray<() => void> = [];
	const mixedPasses: number[] = [];
	const former = new Map<number, RankState>();

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

	function carryOut(rank: Rank, order: RankOrder, orderEpoch: number): OrderOutcome {
		const isDone = orderEpoch === epoch && match(order)
			.with({tag: 'prepare'}, given => prepare(rank, given))
			.with({tag: 'arm'}, given => arm(rank, given))
			.with({tag: 'disarm'}, ({version}) => disarm(rank, version))
			.with({tag: 'hold'}, given => hold(rank, given.step))
			.with({tag: 'go'}, given => release(rank, given.step))
			.exhaustive();
		return isDone ? {tag: 'accepted', detail: ''} : {tag: 'refused', detail: order.tag};
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

	async function turn(): Promise<void> {
		nowMillis += MILLIS_PER_TURN;
		if (random() < PASS_CHANCE) {
			beginPass();
		}

		if (late.length > 0 && random() < LATE_CHANCE) {
			const chosen = pickOne(late, random);
			late = late.filter(order => order !== chosen);
			chosen?.();
		}

		await nextTurn();
	}

	function openAccess() {
		const proposer = {isDead: false, isFrozen: false};
		async function reach(): Promise<void> {
			await turn();
			while (proposer.isFrozen) {
				// eslint-disable-next-line no-await-in-loop -- Time passes meanwhile.
				await nextTurn();
			}

			if (proposer.isDead) {
				await new Promise<never>(() => {
					// Never settles: the proposer is gone.
				});
			}
		}

		const access = ranks.map((_, index): RankEngine => ({
			async readState() {
				await reach();
				const state = readState(index);
				const shown = random() < faults.stale ? former.get(index) ?? state : state;
				former.set(index, state);
				await reach();
				return succeed(shown);
			},
			async readLoad() {
				await reach();
				return fail({tag: 'unavailable', detail: 'no counts here'});
			},
			async readExperts() {
				await reach();
				return succeed((ranks[index]?.experts ?? []).map(layer => layer[index] ?? []));
			},
			async order(order, orderEpoch) {
				await reach();
				const run = () => carryOut(ranks[index] ?? createRank(), order, orderEpoch);
				const runLate = () => {
					run();
				};

				const chance = random();
				const {lost, late: lateShare, duplicated: doubled, dropped} = faults;
				if (chance < dropped) {
					return {tag: 'unknown', detail: 'dropped'};
				}

				if (chance < dropped + lateShare) {
					late = [...late, runLate];
					return {tag: 'unknown', detail: 'late'};
				}

				const outcome = run();
				if (chance < dropped + lateShare + doubled) {
					late = [...late, runLate];
				}

				await reach();
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
					// eslint-disable-next-line no-await-in-loop -- Turns come one after the other.
					await turn();
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
			for (const order of late) {
				order();
			}

			late = [];
		},
		tick: turn,
		reform() {
			epoch++;
			ranks = Array.from({length: size}, () => createRank());
		},
	};
}
