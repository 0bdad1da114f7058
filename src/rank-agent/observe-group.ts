/**
 * Observes the expert load of a group. In a small group the counts of all ranks are read together with their states. In a large group that
 * would take most of a second, in which the popularity of experts changes; there a few ranks are read often, and the states of all seldom.
 */
import {createLoadScenarios, type LoadScenarios} from '../decisions/placement/load-scenarios.js';
import {createPopularityChange, type PopularityChange} from '../decisions/placement/popularity-change.js';
import {
	isGroupState, readGroupLoad, type GroupRanks, type GroupState, type GroupStateError,
} from '../map-switch/group-ranks.js';
import {MAX_COUNTS_PER_SECOND, OBSERVE_INTERVAL_MILLIS, SAMPLE_INTERVAL_MILLIS} from '../map-switch/map-switch-constants.js';
import type {ExpertLayout} from '../routing/routing-configuration.js';

/** Observed load. It is kept across epochs of the group, because the requests of callers do not change with them. */
export type Observation = Readonly<{
	layout: ExpertLayout;
	scenarios: LoadScenarios;
	epoch: number;
	/** Counts of each rank at the last reading; empty for ranks that were not read. */
	counts: ReadonlyArray<readonly number[]>;
	/** In a large group, detects when the popularity changes, so that scenarios from before are discarded. */
	change: PopularityChange;
}>;

/** Observer of one group. */
export type GroupObserver = Readonly<{
	/** Reads the states of all ranks, and in a small group also their load since the last reading. */
	observe: (ranks: GroupRanks, layout: ExpertLayout) => Promise<GroupState | GroupStateError>;
	/** Reads the load of the sampled ranks of a large group; true if the popularity of experts has just changed. */
	sample: (ranks: GroupRanks, layout: ExpertLayout) => Promise<boolean>;
	/** Undefined before the first successful reading. */
	read: () => Observation | undefined;
}>;

const MILLIS_PER_SECOND = 1000;
/** Number of scenarios that one sample gives; a single rank shows the prompts of a few callers, not the load of a pass. */
const SCENARIOS_PER_SAMPLE = 2;

/** Whether reading the counts of all ranks takes longer than the usual interval between readings. */
export function isLargeGroup(size: number, {layers, experts}: ExpertLayout): boolean {
	return size * layers * experts > MAX_COUNTS_PER_SECOND * OBSERVE_INTERVAL_MILLIS / MILLIS_PER_SECOND;
}

/** Number of ranks whose counts are read at once: all of a small group, otherwise as many as the rate of counts allows. */
export function countSampledRanks(size: number, layout: ExpertLayout): number {
	const numbersPerSample = MAX_COUNTS_PER_SECOND * SAMPLE_INTERVAL_MILLIS / MILLIS_PER_SECOND;
	return isLargeGroup(size, layout) ? Math.min(size, Math.max(1, Math.floor(numbersPerSample / (layout.layers * layout.experts)))) : size;
}

/** Whether a rank is in the sample, which is spread evenly over the group. */
function isSampledRank(rank: number, size: number, sampled: number): boolean {
	return Math.floor((rank + 1) * sampled / size) > Math.floor(rank * sampled / size);
}

/** How often each expert was chosen since the previous reading; the counts of a restarted engine begin at 0. */
function subtract(counts: readonly number[], before: readonly number[]): readonly number[] {
	return counts.map((count, i) => Math.max(0, count - (before[i] ?? 0)));
}

/** Adds lists of counts into `parts` sums, in turn. */
function addUp(lists: ReadonlyArray<readonly number[]>, parts: number): ReadonlyArray<readonly number[]> {
	return Array.from({length: Math.min(parts, lists.length)}, (_, part) => {
		const own = lists.filter((__, i) => i % parts === part);
		return (own[0] ?? []).map((___, i) => own.reduce((total, counts) => total + (counts[i] ?? 0), 0));
	});
}

/** Creates an observer without observations. */
export function createGroupObserver(): GroupObserver {
	let observation: Observation | undefined;

	/** Records a reading; returns the choices of each rank since the previous one, where both are known. */
	function recordReading(next: Pick<Observation, 'layout' | 'epoch' | 'counts'>): ReadonlyArray<readonly [rank: number, counts: readonly number[]]> {
		const {layout, epoch, counts} = next;
		const before = observation?.layout.layers === layout.layers && observation.layout.experts === layout.experts ? observation : undefined;
		observation = {
			...next,
			scenarios: before?.scenarios ?? createLoadScenarios(layout.layers, layout.experts),
			change: before?.change ?? createPopularityChange(),
		};
		return before?.epoch === epoch
			? [...counts.entries()]
				.map(([rank, list]) => [rank, list, before.counts[rank] ?? []] as const)
				.filter(([, list, listBefore]) => list.length > 0 && listBefore.length === list.length)
				.map(([rank, list, listBefore]) => [rank, subtract(list, listBefore)] as const)
			: [];
	}

	return {
		async observe(ranks, layout) {
			const isLarge = isLargeGroup(ranks.length, layout);
			const {state, counts} = await readGroupLoad(ranks, () => !isLarge);
			if (isGroupState(state)) {
				const isSameEpoch = observation?.epoch === state.epoch;
				const chosen = recordReading({layout, epoch: state.epoch, counts: isLarge && isSameEpoch ? observation?.counts ?? [] : counts});
				if (!isLarge) {
					for (const [rank, list] of chosen) {
						observation?.scenarios.observe(rank, list);
					}
				}
			}

			return state;
		},
		async sample(ranks, layout) {
			const sampled = countSampledRanks(ranks.length, layout);
			const readings = await Promise.all(ranks.map(async (engine, rank) => isSampledRank(rank, ranks.length, sampled) ? engine.readLoad() : undefined));
			const epoch = observation?.epoch;
			if (epoch === undefined) {
				return false;
			}

			const counts = readings.map(reading => reading?.ok && reading.value.state.group.epoch === epoch ? reading.value.counts : []);
			const lists = recordReading({layout, epoch, counts}).map(([, list]) => list);
			const [total] = addUp(lists, 1);
			if (!observation || !total) {
				return false;
			}

			if (observation.change.observe(total)) {
				// This sample covers passes from before the change too, so it is left out.
				observation = {...observation, scenarios: createLoadScenarios(layout.layers, layout.experts)};
				return true;
			}

			for (const [part, list] of addUp(lists, SCENARIOS_PER_SAMPLE).entries()) {
				observation.scenarios.observe(part, list);
			}

			return false;
		},
		read: () => observation,
	};
}
