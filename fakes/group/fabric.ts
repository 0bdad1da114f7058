import {createId, type Incarnation} from '../../src/core/ids.js';
import {invariant} from '../../src/core/invariant.js';
import type {Clock} from '../../src/core/clock.js';
import {createFabricRecords, type FabricRecords, type FabricReport} from './fabric-records.js';

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

/** What became of an arrival. */
export type ArrivalOutcome
	/** The step has run; a rank worked `millisPerLoad` for each unit of its load. */
	= | Readonly<{tag: 'ran'; stepMillis: number; millisPerLoad: number}>
	/** The group started again at step 0. */
		| Readonly<{tag: 'restarted'; groupIncarnation: Incarnation}>;

/** Where a rank that joins goes on. */
export type Joined = Readonly<{groupIncarnation: Incarnation; step: number}>;

/** The lock-step of one rank group. */
export type Fabric = {
	/** A new engine in the place of one that took part restarts the group, for its memory is gone. */
	readonly join: (rank: number, engineIncarnation: Incarnation) => Joined;
	/** Resolves when all ranks have arrived and the step has run. A repeated arrival is harmless. */
	readonly arrive: (arrival: Arrival) => Promise<ArrivalOutcome>;
	readonly restart: () => void;
	/** Resolves as soon as the incarnation is another than `known`. */
	readonly nextIncarnation: (known: Incarnation) => Promise<Incarnation>;
	readonly report: () => FabricReport;
	readonly clearRecords: () => void;
};

/** Shape of the group. */
export type FabricOptions = Readonly<{
	ranks: number;
	/** Time of a step with even load, in milliseconds. */
	baseStepMillis: number;
	clock: Clock;
}>;

type Waiter = (outcome: ArrivalOutcome) => void;

/** Creates a group that waits for its ranks at step 0. */
export function createFabric({ranks, baseStepMillis, clock}: FabricOptions): Fabric {
	const engines = new Map<number, Incarnation>();
	let records: FabricRecords = createFabricRecords();
	let groupIncarnation = createId();
	let step = 0;
	let arrivals = new Map<number, Arrival>();
	let waiters: Waiter[] = [];
	let watchers: Array<(incarnation: Incarnation) => void> = [];
	let stepEndedMillis = clock.monotonicMillis();
	let lastRun: ArrivalOutcome = {tag: 'ran', stepMillis: baseStepMillis, millisPerLoad: 0};

	function settle(outcome: ArrivalOutcome): void {
		const settled = waiters;
		waiters = [];
		arrivals = new Map();
		for (const settleOne of settled) {
			settleOne(outcome);
		}
	}

	function restart(): void {
		groupIncarnation = createId();
		step = 0;
		records.countRestart();
		stepEndedMillis = clock.monotonicMillis();
		settle({tag: 'restarted', groupIncarnation});
		const watching = watchers;
		watchers = [];
		for (const watcher of watching) {
			watcher(groupIncarnation);
		}
	}

	async function runStep(): Promise<void> {
		const present = [...arrivals.values()];
		const loads = present.map(arrival => arrival.load);
		const meanLoad = loads.reduce((sum, load) => sum + load, 0) / ranks;
		const skew = meanLoad > 0 ? Math.max(...loads) / meanLoad : 1;
		const stepMillis = baseStepMillis * skew;
		records.addStep({
			groupIncarnation, step, arrivals: present, skew, waitMillis: clock.monotonicMillis() - stepEndedMillis,
		});
		const incarnationBefore = groupIncarnation;
		await clock.sleep(stepMillis);
		if (groupIncarnation !== incarnationBefore) {
			return;
		}

		step += 1;
		stepEndedMillis = clock.monotonicMillis();
		lastRun = {tag: 'ran', stepMillis, millisPerLoad: meanLoad > 0 ? baseStepMillis / meanLoad : 0};
		settle(lastRun);
	}

	return {
		join(rank, engineIncarnation) {
			const known = engines.get(rank);
			if (known !== undefined && known !== engineIncarnation) {
				restart();
			}

			engines.set(rank, engineIncarnation);
			return {groupIncarnation, step};
		},
		async arrive(arrival) {
			if (arrival.groupIncarnation !== groupIncarnation) {
				return {tag: 'restarted', groupIncarnation};
			}

			if (arrival.step < step) {
				return lastRun;
			}

			invariant(arrival.step === step, 'a rank arrives for no step beyond the next');

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
				watchers.push(resolve);
			});
		},
		report: () => records.report({groupIncarnation, step, arrived: [...arrivals.keys()]}),
		clearRecords() {
			records = createFabricRecords();
		},
	};
}
