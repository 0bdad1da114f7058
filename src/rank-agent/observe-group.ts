/** Looks at the load of a group, also while a switch of its map is under way, so that the next plan rests on the latest load. */
import type {Clock} from '../core/clock.js';
import {createLoadScenarios, type LoadScenarios} from '../decisions/placement/load-scenarios.js';
import {isGroupState, readGroupLoad, type GroupRanks} from '../map-switch/group-ranks.js';
import {FAILURE_PAUSE_MILLIS, MAX_COUNTS_PER_SECOND, OBSERVE_MILLIS} from '../map-switch/map-switch-constants.js';
import type {Log} from '../observability/log.js';
import type {ExpertLayout} from '../routing/routing-configuration.js';

/** What an observer needs. */
export type GroupObserverDeps = Readonly<{
	clock: Clock;
	log: Log;
	/** Access to all ranks; undefined while not all are known. */
	readRanks: () => GroupRanks | undefined;
	/** Shape of the group; undefined until a configuration is known. */
	readLayout: () => ExpertLayout | undefined;
}>;

/** What is known of the load. It outlives the epochs of the group: callers ask on for the same. */
export type Observation = Readonly<{
	layout: ExpertLayout;
	scenarios: LoadScenarios;
	epoch: number;
	/** Counts of each rank at the last look. */
	counts: ReadonlyArray<readonly number[]>;
	/** Time per token of each rank over that of a usual rank. */
	slowFactors: readonly number[];
}>;

/** Looks at one group. */
export type GroupObserver = Readonly<{
	/** Looks until the signal aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	/** The latest look; undefined before the first. */
	read: () => Observation | undefined;
}>;

const MILLIS_PER_SECOND = 1000;

/** How often each expert was chosen since the look before; the counts of an engine that started anew begin at 0. */
function subtract(counts: readonly number[], before: readonly number[]): readonly number[] {
	return counts.map((count, i) => Math.max(0, count - (before[i] ?? 0)));
}

/** Creates an observer that has not looked yet. */
export function createGroupObserver({clock, log, readRanks, readLayout}: GroupObserverDeps): GroupObserver {
	let observation: Observation | undefined;

	function take(next: Omit<Observation, 'scenarios'>): void {
		const {layout, epoch, counts} = next;
		const isSameShape = observation?.layout.layers === layout.layers && observation.layout.experts === layout.experts;
		const scenarios = observation && isSameShape ? observation.scenarios : createLoadScenarios(layout.layers, layout.experts);
		if (isSameShape && observation?.epoch === epoch) {
			for (const [rank, list] of counts.entries()) {
				scenarios.observe(rank, subtract(list, observation.counts[rank] ?? []));
			}
		}

		observation = {...next, scenarios};
	}

	/** One look; the time until the next. */
	async function look(ranks: GroupRanks, layout: ExpertLayout): Promise<number> {
		const {state, counts} = await readGroupLoad(ranks);
		if (!isGroupState(state)) {
			log.debug('group cannot be planned', {reason: state.tag, rank: state.rank});
			return FAILURE_PAUSE_MILLIS;
		}

		take({
			layout, epoch: state.epoch, counts, slowFactors: state.ranks.map(({pace}) => Math.max(1, pace)),
		});
		const numbers = layout.layers * layout.experts * ranks.length;
		return Math.max(OBSERVE_MILLIS, numbers * MILLIS_PER_SECOND / MAX_COUNTS_PER_SECOND);
	}

	return {
		async run(signal) {
			/* eslint-disable no-await-in-loop -- One look after the other. */
			while (!signal.aborted) {
				const ranks = readRanks();
				const layout = readLayout();
				await clock.sleep(ranks && layout ? await look(ranks, layout) : FAILURE_PAUSE_MILLIS, signal);
			}
			/* eslint-enable no-await-in-loop */
		},
		read: () => observation,
	};
}
