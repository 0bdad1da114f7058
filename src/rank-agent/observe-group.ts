/** Looks at the load of a group. */
import {createLoadScenarios, type LoadScenarios} from '../decisions/placement/load-scenarios.js';
import {
	isGroupState, readGroupLoad, type GroupRanks, type GroupState, type GroupStateError,
} from '../map-switch/group-ranks.js';
import type {ExpertLayout} from '../routing/routing-configuration.js';

/** What is known of the load. It outlives the epochs of the group: callers ask on for the same. */
export type Observation = Readonly<{
	layout: ExpertLayout;
	scenarios: LoadScenarios;
	epoch: number;
	/** Counts of each rank at the last look. */
	counts: ReadonlyArray<readonly number[]>;
}>;

/** Looks at one group. */
export type GroupObserver = Readonly<{
	/** Reads all ranks, and takes what they did since the last look. */
	observe: (ranks: GroupRanks, layout: ExpertLayout) => Promise<GroupState | GroupStateError>;
	/** Undefined before the first look. */
	read: () => Observation | undefined;
}>;

/** How often each expert was chosen since the look before; the counts of an engine that started anew begin at 0. */
function subtract(counts: readonly number[], before: readonly number[]): readonly number[] {
	return counts.map((count, i) => Math.max(0, count - (before[i] ?? 0)));
}

/** Creates an observer that has not looked yet. */
export function createGroupObserver(): GroupObserver {
	let observation: Observation | undefined;

	function take(next: Omit<Observation, 'scenarios'>): void {
		const {layout, epoch, counts} = next;
		const before = observation?.layout.layers === layout.layers && observation.layout.experts === layout.experts ? observation : undefined;
		const scenarios = before?.scenarios ?? createLoadScenarios(layout.layers, layout.experts);
		if (before?.epoch === epoch) {
			for (const [rank, list] of counts.entries()) {
				scenarios.observe(rank, subtract(list, before.counts[rank] ?? []));
			}
		}

		observation = {...next, scenarios};
	}

	return {
		async observe(ranks, layout) {
			const {state, counts} = await readGroupLoad(ranks);
			if (isGroupState(state)) {
				take({
					layout, epoch: state.epoch, counts,
				});
			}

			return state;
		},
		read: () => observation,
	};
}
