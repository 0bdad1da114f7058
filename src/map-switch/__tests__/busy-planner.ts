/** A large rank group in simulated time, whose planner shares one slow processor among all its calls; timers fire between two of them. */
import {setImmediate as nextTurn} from 'node:timers/promises';
import {match} from 'ts-pattern';
import {createManualClock, type ManualClock} from '../../core/manual-clock.js';
import {fail, succeed} from '../../core/result.js';
import type {
	OrderOutcome, RankEngine, RankOrder, RankState,
} from '../../ports/rank-engine.js';

/** A group and the processor of its planner. Times in milliseconds. */
export type BusyPlannerOptions = Readonly<{
	ranks: number;
	/** Processor time of the planner for sending a call, and again for its answer. */
	callMillis: number;
	passMillis: number;
	/** Whether an order is lost on its way; counts the orders of a rank from 1. */
	isLost?: (rank: number, count: number, order: RankOrder) => boolean;
	/** Ranks that answer nothing. */
	isSilent?: (rank: number) => boolean;
	/** Time for copying experts, after which an order to prepare is answered. */
	copyMillis?: number;
}>;

type Rank = {
	mapVersion: number;
	preparedVersion: number | undefined;
	armed: Readonly<{version: number; step: number}> | undefined;
	heldStep: number | undefined;
};

const NETWORK_MILLIS = 2;

/** Creates the group; its passes begin as the simulated time advances. */
export function createBusyPlanner({ranks: size, callMillis, passMillis, isLost = () => false, isSilent = () => false, copyMillis = 0}: BusyPlannerOptions) {
	const time: ManualClock = createManualClock();
	const ranks: Rank[] = Array.from({length: size}, () => ({
		mapVersion: 0, preparedVersion: undefined, armed: undefined, heldStep: undefined,
	}));
	let step = 0;
	let heldMillis = 0;
	let passBeganAtMillis = 0;
	let isMixed = false;
	let sends = 0;
	let busyUntilMillis = 0;

	/** Waits for the processor, which does one thing at a time. */
	async function useProcessor(millis: number): Promise<void> {
		busyUntilMillis = Math.max(busyUntilMillis, time.monotonicMillis()) + millis;
		await time.sleep(busyUntilMillis - time.monotonicMillis());
	}

	function beginPass(): void {
		step++;
		for (const rank of ranks) {
			if (rank.armed?.step === step) {
				rank.mapVersion = rank.armed.version;
				rank.armed = undefined;
				rank.preparedVersion = undefined;
			}
		}

		if (ranks.some(({mapVersion}) => mapVersion !== ranks[0]?.mapVersion)) {
			isMixed = true;
		}
	}

	/** Advances the time by a millisecond, in which a pass may begin, or be held back. */
	function tick(): void {
		time.advance(1);
		const isDue = time.monotonicMillis() >= passBeganAtMillis + passMillis;
		if (isDue && ranks.some(({heldStep}) => heldStep === step + 1)) {
			heldMillis++;
		} else if (isDue) {
			passBeganAtMillis = time.monotonicMillis();
			beginPass();
		}
	}

	function execute(rank: Rank, order: RankOrder): OrderOutcome['tag'] {
		return match(order)
			.returnType<OrderOutcome['tag']>()
			.with({tag: 'prepare'}, ({version}) => {
				if (rank.armed !== undefined || version < (rank.preparedVersion ?? 0)) {
					return 'refused';
				}

				rank.preparedVersion = version;
				return 'accepted';
			})
			.with({tag: 'arm'}, ({version, step: armedStep}) => {
				if (rank.armed?.version === version) {
					return 'done';
				}

				if (rank.preparedVersion !== version || armedStep <= step) {
					return 'refused';
				}

				rank.armed = {version, step: armedStep};
				return 'done';
			})
			.with({tag: 'disarm'}, () => {
				rank.armed = undefined;
				return 'done';
			})
			.with({tag: 'hold'}, ({step: heldStep}) => {
				if (heldStep <= step) {
					return 'refused';
				}

				rank.heldStep = heldStep;
				return 'done';
			})
			.with({tag: 'go'}, ({step: heldStep}) => {
				if (rank.heldStep !== heldStep) {
					return 'refused';
				}

				rank.heldStep = undefined;
				return 'done';
			})
			.exhaustive();
	}

	/** A call to a rank: processor, network, `run`, network, processor. Never settles if the rank is silent. */
	async function call<T>(rank: number, run: () => T | undefined): Promise<T> {
		await useProcessor(callMillis);
		await time.sleep(NETWORK_MILLIS);
		const answer = isSilent(rank) ? undefined : run();
		if (answer === undefined) {
			return new Promise<never>(() => {
				// No answer.
			});
		}

		await time.sleep(NETWORK_MILLIS);
		await useProcessor(callMillis);
		return answer;
	}

	function readState(rank: Rank, index: number): RankState {
		const {mapVersion, preparedVersion, armed, heldStep} = rank;
		return {
			group: {
				name: 'g', rank: index, size, epoch: 1, isOpen: true,
			},
			step,
			mapVersion,
			preparedVersion,
			armed,
			heldStep,
			slowFactor: 1,
			hasWork: true,
		};
	}

	return {
		clock: time,
		ranks: ranks.map((rank, index): RankEngine => {
			let count = 0;
			return {
				readState: async () => call(index, () => succeed(readState(rank, index))),
				readLoad: async () => fail({tag: 'unavailable', detail: 'no counts'}),
				readExperts: async () => call(index, () => succeed([[index]])),
				async order(order) {
					count++;
					sends++;
					const own = count;
					const answered = await call<OrderOutcome>(index, () => isLost(index, own, order) ? undefined : {tag: execute(rank, order), detail: ''});
					if (order.tag !== 'prepare' || copyMillis === 0) {
						return answered;
					}

					await time.sleep(copyMillis);
					return {tag: 'done', detail: ''};
				},
			};
		}),
		/** Advances the time until the promise settles, or for `maxMillis`. */
		async runUntil<T>(promise: Promise<T>, maxMillis: number): Promise<T | undefined> {
			const settled: T[] = [];
			void promise.then(value => {
				settled.push(value);
			});
			const untilMillis = time.monotonicMillis() + maxMillis;
			while (settled.length === 0 && time.monotonicMillis() < untilMillis) {
				tick();
				// eslint-disable-next-line no-await-in-loop -- Time advances step by step.
				await nextTurn();
			}

			return settled[0];
		},
		/** Puts the group into the middle of a switch: all ranks have prepared it, some are armed, and the anchor is held. */
		arm(version: number, armedStep: number, isArmed: (rank: number) => boolean, anchor: number): void {
			for (const [index, rank] of ranks.entries()) {
				rank.preparedVersion = version;
				rank.armed = isArmed(index) ? {version, step: armedStep} : undefined;
				rank.heldStep = index === anchor ? armedStep : undefined;
			}
		},
		readStep: () => step,
		readHeldMillis: () => heldMillis,
		countSends: () => sends,
		isMixed: () => isMixed,
		isHeld: () => ranks.some(({heldStep}) => heldStep !== undefined),
	};
}
