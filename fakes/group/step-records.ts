import type {Incarnation} from '../../src/core/ids.js';
import type {Arrival} from './step-barrier.js';

/** Number of latest steps that are retained in full. */
const MAX_RETAINED_STEPS = 2000;

/** A step that started to run. */
export type StepRecord = Readonly<{
	groupIncarnation: Incarnation;
	step: number;
	arrivals: readonly Arrival[];
	/** Largest load divided by the mean load. */
	skew: number;
	/** Time from the end of the previous step until all ranks had arrived, in milliseconds. */
	waitMillis: number;
}>;

/** A step in which the ranks used different maps. */
export type MixedStep = Readonly<{
	groupIncarnation: Incarnation;
	step: number;
	/** `epochs[rank]`. */
	epochs: readonly number[];
}>;

/** The first step that a group ran with a map. */
export type MapSwitch = Readonly<{
	groupIncarnation: Incarnation;
	epoch: number;
	firstStep: number;
	/** Time that the group was idle before this step, in milliseconds. */
	waitMillis: number;
}>;

/** Report on the steps that a group has run. */
export type StepReport = Readonly<{
	groupIncarnation: Incarnation;
	/** The running step, or the next one if none is running. */
	step: number;
	/** Ranks that have arrived for this step. */
	arrived: readonly number[];
	/** Number of steps run in all incarnations. */
	steps: number;
	restarts: number;
	mixedSteps: readonly MixedStep[];
	switches: readonly MapSwitch[];
	/** Median wait of the retained steps, in milliseconds; the baseline for `waitMillis` of a switch. */
	medianWaitMillis: number;
	meanSkew: number;
	p95Skew: number;
	/** The latest steps with the epoch of each rank. */
	latest: ReadonlyArray<Readonly<{groupIncarnation: Incarnation; step: number; epochs: readonly number[]; skew: number}>>;
}>;

/** Records of the steps of a group. */
export type StepRecords = {
	readonly addStep: (step: StepRecord) => void;
	readonly countRestart: () => void;
	readonly report: (current: Pick<StepReport, 'groupIncarnation' | 'step' | 'arrived'>) => StepReport;
};

/** Maximum number of steps listed in a report. */
const MAX_REPORTED_STEPS = 50;
const MEDIAN = 0.5;
const P95 = 0.95;

function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

function epochsOf({arrivals}: StepRecord): readonly number[] {
	return arrivals.toSorted((left, right) => left.rank - right.rank).map(arrival => arrival.epoch);
}

/** Creates empty records. */
export function createStepRecords(): StepRecords {
	const mixedSteps: MixedStep[] = [];
	const switches: MapSwitch[] = [];
	const recentSteps: StepRecord[] = [];
	let steps = 0;
	let restarts = 0;
	let skewSum = 0;
	let lastMap: Readonly<{groupIncarnation: Incarnation; epoch: number}> | undefined;

	function recordSwitch({groupIncarnation, step, waitMillis}: StepRecord, epoch: number): void {
		if (lastMap?.groupIncarnation === groupIncarnation && lastMap.epoch === epoch) {
			return;
		}

		lastMap = {groupIncarnation, epoch};
		switches.push({
			groupIncarnation, epoch, firstStep: step, waitMillis,
		});
	}

	return {
		addStep(record) {
			const epochs = epochsOf(record);
			steps += 1;
			skewSum += record.skew;
			recentSteps.push(record);
			if (recentSteps.length > MAX_RETAINED_STEPS) {
				recentSteps.shift();
			}

			if (new Set(epochs).size > 1) {
				mixedSteps.push({groupIncarnation: record.groupIncarnation, step: record.step, epochs});
			}

			recordSwitch(record, Math.max(...epochs));
		},
		countRestart() {
			restarts += 1;
		},
		report: current => ({
			...current,
			steps,
			restarts,
			mixedSteps,
			switches,
			medianWaitMillis: quantile(recentSteps.map(step => step.waitMillis), MEDIAN),
			meanSkew: steps === 0 ? 1 : skewSum / steps,
			p95Skew: quantile(recentSteps.map(step => step.skew), P95),
			latest: recentSteps.slice(-MAX_REPORTED_STEPS).map(record => ({
				groupIncarnation: record.groupIncarnation,
				step: record.step,
				epochs: epochsOf(record),
				skew: record.skew,
			})),
		}),
	};
}
