/** Observes the expert load of a group. */
import {createLoadScenarios, type LoadScenarios} from '../decisions/placement/load-scenarios.js';
import {
	isGroupState, readGroupLoad, type GroupRanks, type GroupState, type GroupStateError,
} from '../map-switch/group-ranks.js';
import {MAX_COUNTS_PER_SECOND, MAX_OBSERVE_INTERVAL_MILLIS} from '../map-switch/map-switch-constants.js';
import type {ExpertLayout} from '../routing/routing-configuration.js';

/** Observed load. It is kept across epochs of the group, because the requests of callers do not change with them. */
export type Observation = Readonly<{
	layout: ExpertLayout;
	scenarios: LoadScenarios;
	epoch: number;
	/** Counts of each rank at the last reading. */
	counts: ReadonlyArray<readonly number[]>;
}>;

/** Observer of one group. */
export type GroupObserver = Readonly<{
	/** Reads all ranks and records their load since the last reading. */
	observe: (ranks: GroupRanks, layout: ExpertLayout) => Promise<GroupState | GroupStateError>;
	/** Undefined before the first successful reading. */
	read: () => Observation | undefined;
}>;

const MILLIS_PER_SECOND = 1000;

/**
 * Number of ranks whose counts are read at once. The requests of all ranks choose experts alike, so in a large group a sample
 * shows a change of the load sooner than the counts of all ranks, which would take seconds over a slow link.
 */
export function countSampledRanks(size: number, {layers, experts}: ExpertLayout): number {
	const numbersPerLook = MAX_COUNTS_PER_SECOND * MAX_OBSERVE_INTERVAL_MILLIS / MILLIS_PER_SECOND;
	return Math.min(size, Math.max(1, Math.floor(numbersPerLook / (layers * experts))));
}

/** Whether a rank is in the sample, which is spread evenly over the group. */
function isSampledRank(rank: number, size: number, sampled: number): boolean {
	return Math.floor((rank + 1) * sampled / size) > Math.floor(rank * sampled / size);
}

/** How often each expert was chosen since the previous reading; the counts of a restarted engine begin at 0. */
function subtract(counts: readonly number[], before: readonly number[]): readonly number[] {
	return counts.map((count, i) => Math.max(0, count - (before[i] ?? 0)));
}

/** Creates an observer without observations. */
export function createGroupObserver(): GroupObserver {
	let observation: Observation | undefined;

	function recordObservation(next: Omit<Observation, 'scenarios'>): void {
		const {layout, epoch, counts} = next;
		const before = observation?.layout.layers === layout.layers && observation.layout.experts === layout.experts ? observation : undefined;
		const scenarios = before?.scenarios ?? createLoadScenarios(layout.layers, layout.experts);
		if (before?.epoch === epoch) {
			for (const [rank, list] of counts.entries()) {
				const listBefore = before.counts[rank] ?? [];
				if (list.length > 0 && listBefore.length === list.length) {
					scenarios.observe(rank, subtract(list, listBefore));
				}
			}
		}

		observation = {...next, scenarios};
	}

	return {
		async observe(ranks, layout) {
			const sampled = countSampledRanks(ranks.length, layout);
			const {state, counts} = await readGroupLoad(ranks, rank => isSampledRank(rank, ranks.length, sampled));
			if (isGroupState(state)) {
				recordObservation({
					layout, epoch: state.epoch, counts,
				});
			}

			return state;
		},
		read: () => observation,
	};
}
