import {succeed, type Result} from '../core/result.js';
import {measureRankTimes, measureRankTokens} from '../decisions/placement/layer-skew.js';
import {createPlacementPlanner, type PlacementPlanner} from '../decisions/placement/placement-planner.js';
import type {GroupShape, PlacementError} from '../decisions/placement/placement-types.js';
import type {RankState} from '../wire/generated/vote.js';
import {isSameShape} from './group-shape.js';
import type {GroupView} from './group-view.js';

/** Shows the reports of a group to its decider. */
export type GroupObserver = {
	/** Takes the reports of one look and returns the decider that has seen them. */
	readonly observe: (view: GroupView, shape: GroupShape) => Result<PlacementPlanner, PlacementError>;
	/** Largest rank time over the mean, over all layers together. */
	readonly measureStepSkew: (view: GroupView) => number;
};

/** What an observer needs. */
export type GroupObserverDeps = Readonly<{
	/** A rank's report that is older than this does not tell its pace, in milliseconds. */
	staleReportMillis: number;
	onRejectedReport: (error: PlacementError) => void;
}>;

type Memory = Readonly<{
	groupIncarnation: string;
	shape: GroupShape;
	decider: PlacementPlanner;
	/** Step at the last look. */
	step: number;
}>;

/** Tokens of each expert of a layer, added up over the ranks. */
function sumTokens(states: readonly RankState[], layer: number): readonly number[] {
	const sums: number[] = [];
	for (const state of states) {
		for (const [expert, tokens] of (state.layers[layer]?.tokens ?? []).entries()) {
			sums[expert] = (sums[expert] ?? 0) + tokens;
		}
	}

	return sums;
}

/** Tokens that each rank worked on over all layers, as the loads of the decider have it. */
function estimateRankTokens(view: GroupView, decider: PlacementPlanner): readonly number[] {
	const totals = view.members.map(() => 0);
	for (const [layer, map] of view.map.layers.entries()) {
		for (const [rank, tokens] of measureRankTokens(map, decider.readLoads(layer)).entries()) {
			totals[rank] = (totals[rank] ?? 0) + tokens;
		}
	}

	return totals;
}

/** Creates the observer of one group. */
export function createGroupObserver(deps: GroupObserverDeps): GroupObserver {
	let memory: Memory | undefined;

	function observeLoads(decider: PlacementPlanner, view: GroupView, shape: GroupShape, steps: number): void {
		for (let layer = 0; layer < shape.layers; layer++) {
			const observed = decider.observeLoad(layer, sumTokens(view.states, layer), steps);
			if (!observed.ok) {
				deps.onRejectedReport(observed.error);
			}
		}
	}

	function observePaces(decider: PlacementPlanner, view: GroupView): void {
		const rankTokens = estimateRankTokens(view, decider);
		decider.observeTimings(view.states.map(({stepMillis, reportAgeMillis}, rank) => ({
			tokens: rankTokens[rank] ?? 0,
			time: reportAgeMillis > deps.staleReportMillis ? undefined : stepMillis,
		})));
	}

	return {
		observe(view, shape) {
			const known = memory?.groupIncarnation === view.groupIncarnation && isSameShape(memory.shape, shape) ? memory : undefined;
			const created = known ? succeed(known.decider) : createPlacementPlanner(shape);
			if (!created.ok) {
				return created;
			}

			const decider = created.value;
			memory = {
				groupIncarnation: view.groupIncarnation, shape, decider, step: view.step,
			};
			// The first report covers a number of steps that nobody knows.
			if (known && view.step > known.step) {
				observeLoads(decider, view, shape, view.step - known.step);
				observePaces(decider, view);
			}

			return created;
		},
		measureStepSkew(view) {
			const decider = memory?.decider;
			let largest = 0;
			let mean = 0;
			for (const [layer, map] of view.map.layers.entries()) {
				const times = decider ? measureRankTimes(map, decider.readLoads(layer), decider.readSlowFactors()) : [];
				for (const time of times) {
					mean += time / times.length;
				}

				largest += Math.max(0, ...times);
			}

			return mean > 0 ? largest / mean : 1;
		},
	};
}
