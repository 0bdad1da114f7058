import type {Incarnation} from '../../src/core/ids.js';
import type {Arrival} from './fabric.js';

/** Latest steps that are kept in full. */
const KEPT_STEPS = 2000;

/** A step that began to run. */
export type StepRecord = Readonly<{
	groupIncarnation: Incarnation;
	step: number;
	arrivals: readonly Arrival[];
	/** Largest load over the mean. */
	skew: number;
	/** Time from the end of the step before until all ranks had arrived, in milliseconds. */
	waitMillis: number;
}>;

/** A step in which the ranks used different maps. */
export type MixedStep = Readonly<{
	groupIncarnation: Incarnation;
	step: number;
	/** `epochs[rank]`. */
	epochs: readonly number[];
}>;

/** The first step of a group on a map. */
export type MapSwitch = Readonly<{
	groupIncarnation: Incarnation;
	epoch: number;
	firstStep: number;
	/** Time that the group stood still before this step, in milliseconds. */
	waitMillis: number;
}>;

/** What a group's fabric recorded. */
export type FabricReport = Readonly<{
	groupIncarnation: Incarnation;
	/** Step that runs next or is running. */
	step: number;
	/** Ranks that have arrived for it. */
	arrived: readonly number[];
	/** Steps run in all incarnations. */
	steps: number;
	restarts: number;
	mixedSteps: readonly MixedStep[];
	switches: readonly MapSwitch[];
	/** Median wait over the kept steps, in milliseconds; compare `waitMillis` of a switch with it. */
	medianWaitMillis: number;
	meanSkew: number;
	p95Skew: number;
	/** Latest steps with the epoch of each rank. */
	latest: ReadonlyArray<Readonly<{groupIncarnation: Incarnation; step: number; epochs: readonly number[]; skew: number}>>;
}>;

/** Record of the steps of a group. */
export type FabricRecords = {
	readonly addStep: (step: StepRecord) => void;
	readonly countRestart: () => void;
	readonly report: (now: Pick<FabricReport, 'groupIncarnation' | 'step' | 'arrived'>) => FabricReport;
};

/** Steps listed in a report. */
const REPORTED_STEPS = 50;
const MEDIAN = 0.5;
const P95 = 0.95;

function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function epochsOf({arrivals}: StepRecord): readonly number[] {
	return arrivals.toSorted((left, right) => left.rank - right.rank).map(arrival => arrival.epoch);
}

/** Creates an empty record. */
export function createFabricRecords(): FabricRecords {
	const mixedSteps: MixedStep[] = [];
	const switches: MapSwitch[] = [];
	const kept: StepRecord[] = [];
	let steps = 0;
	let restarts = 0;
	let skewSum = 0;
	let last: Readonly<{groupIncarnation: Incarnation; epoch: number}> | undefined;

	function noteSwitch({groupIncarnation, step, waitMillis}: StepRecord, epoch: number): void {
		if (last?.groupIncarnation === groupIncarnation && last.epoch === epoch) {
			return;
		}

		last = {groupIncarnation, epoch};
		switches.push({
			groupIncarnation, epoch, firstStep: step, waitMillis,
		});
	}

	return {
		addStep(record) {
			const epochs = epochsOf(record);
			steps += 1;
			skewSum += record.skew;
			kept.push(record);
			if (kept.length > KEPT_STEPS) {
				kept.shift();
			}

			if (new Set(epochs).size > 1) {
				mixedSteps.push({groupIncarnation: record.groupIncarnation, step: record.step, epochs});
			}

			noteSwitch(record, Math.max(...epochs));
		},
		countRestart() {
			restarts += 1;
		},
		report: now => ({
			...now,
			steps,
			restarts,
			mixedSteps,
			switches,
			medianWaitMillis: quantile(kept.map(step => step.waitMillis), MEDIAN),
			meanSkew: steps === 0 ? 1 : skewSum / steps,
			p95Skew: quantile(kept.map(step => step.skew), P95),
			latest: kept.slice(-REPORTED_STEPS).map(record => ({
				groupIncarnation: record.groupIncarnation,
				step: record.step,
				epochs: epochsOf(record),
				skew: record.skew,
			})),
		}),
	};
}
