import {createId, type Incarnation} from '../../src/core/ids.js';
import {invariant} from '../../src/core/invariant.js';
import type {Clock} from '../../src/core/clock.js';
import {createStepRecords, type StepRecords, type StepReport} from './step-records.js';

/** A rank is ready to run a step. */
export type Arrival = Readonly<{
	rank: number;
	groupIncarnation: Incarnation;
	step: number;
	/** Epoch of the expert map that the rank uses in this step. */
	epoch: number;
	/** Work of the rank in this step, in any unit that all ranks share. */
	load: number;
}>;

/** Outcome of an arrival. */
export type ArrivalOutcome
	/** The step has run; each rank worked `millisPerLoad` per unit of its load. */
	= | Readonly<{tag: 'ran'; stepMillis: number; millisPerLoad: number}>
	/** The group restarted at step 0. */
		| Readonly<{tag: 'restarted'; groupIncarnation: Incarnation}>;

/** Incarnation and step at which a joining rank continues. */
export type Joined = Readonly<{groupIncarnation: Incarnation; step: number}>;

/** The barrier that keeps the ranks of one group in lock-step. */
export type StepBarrier = {
	/** Restarts the group if the engine replaces another one of this rank, because the memory of the replaced engine is lost. */
	readonly join: (rank: number, engineIncarnation: Incarnation) => Joined;
	/** Resolves when all ranks have arrived and the step has run. Idempotent. */
	readonly arrive: (arrival: Arrival) => Promise<ArrivalOutcome>;
	readonly restart: () => void;
	/** Resolves as soon as the incarnation differs from `known`. */
	readonly nextIncarnation: (known: Incarnation) => Promise<Incarnation>;
	readonly report: () => StepReport;
	readonly clearRecords: () => void;
};

/** Options of the group. */
export type StepBarrierOptions = Readonly<{
	ranks: number;
	/** Duration of a step if all ranks have the same load, in milliseconds. */
	baseStepMillis: number;
	clock: Clock;
}>;

type ArrivalWaiter = (outcome: ArrivalOutcome) => void;

/** Creates a group that waits for its ranks at step 0. */
export function createStepBarrier({ranks, baseStepMillis, clock}: StepBarrierOptions): StepBarrier {
	const engineByRank = new Map<number, Incarnation>();
	let records: StepRecords = createStepRecords();
	let groupIncarnation = createId();
	let step = 0;
	let arrivals = new Map<number, Arrival>();
	let waiters: ArrivalWaiter[] = [];
	let incarnationWaiters: Array<(incarnation: Incarnation) => void> = [];
	let previousStepEndMillis = clock.monotonicMillis();
	let lastStepOutcome: ArrivalOutcome = {tag: 'ran', stepMillis: baseStepMillis, millisPerLoad: 0};

	function resolveWaiters(outcome: ArrivalOutcome): void {
		const pendingWaiters = waiters;
		waiters = [];
		arrivals = new Map();
		for (const resolve of pendingWaiters) {
			resolve(outcome);
		}
	}

	function restart(): void {
		groupIncarnation = createId();
		step = 0;
		records.countRestart();
		previousStepEndMillis = clock.monotonicMillis();
		resolveWaiters({tag: 'restarted', groupIncarnation});
		const pendingWaiters = incarnationWaiters;
		incarnationWaiters = [];
		for (const resolve of pendingWaiters) {
			resolve(groupIncarnation);
		}
	}

	async function runStep(): Promise<void> {
		const stepArrivals = [...arrivals.values()];
		const loads = stepArrivals.map(arrival => arrival.load);
		const meanLoad = loads.reduce((sum, load) => sum + load, 0) / ranks;
		const skew = meanLoad > 0 ? Math.max(...loads) / meanLoad : 1;
		const stepMillis = baseStepMillis * skew;
		records.addStep({
			groupIncarnation, step, arrivals: stepArrivals, skew, waitMillis: clock.monotonicMillis() - previousStepEndMillis,
		});
		const incarnationBefore = groupIncarnation;
		await clock.sleep(stepMillis);
		if (groupIncarnation !== incarnationBefore) {
			return;
		}

		step += 1;
		previousStepEndMillis = clock.monotonicMillis();
		lastStepOutcome = {tag: 'ran', stepMillis, millisPerLoad: meanLoad > 0 ? baseStepMillis / meanLoad : 0};
		resolveWaiters(lastStepOutcome);
	}

	return {
		join(rank, engineIncarnation) {
			const known = engineByRank.get(rank);
			if (known !== undefined && known !== engineIncarnation) {
				restart();
			}

			engineByRank.set(rank, engineIncarnation);
			return {groupIncarnation, step};
		},
		async arrive(arrival) {
			if (arrival.groupIncarnation !== groupIncarnation) {
				return {tag: 'restarted', groupIncarnation};
			}

			if (arrival.step < step) {
				return lastStepOutcome;
			}

			invariant(arrival.step === step, 'no rank arrives for a step after the current one');

			return new Promise(resolve => {
				waiters.push(resolve);
				const isNew = !arrivals.has(arrival.rank);
				if (isNew) {
					arrivals.set(arrival.rank, arrival);
				}

				if (isNew && arrivals.size === ranks) {
					void runStep();
				}
			});
		},
		restart,
		async nextIncarnation(known) {
			if (known !== groupIncarnation) {
				return groupIncarnation;
			}

			return new Promise(resolve => {
				incarnationWaiters.push(resolve);
			});
		},
		report: () => records.report({groupIncarnation, step, arrived: [...arrivals.keys()]}),
		clearRecords() {
			records = createStepRecords();
		},
	};
}
