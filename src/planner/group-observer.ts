import {succeed, type Result} from '../core/result.js';
import {measureRankTimes, measureRankTokens} from '../decisions/placement/layer-skew.js';
import {createPlacementPlanner, type PlacementPlanner} from '../decisions/placement/placement-planner.js';
import type {GroupShape, PlacementError} from '../decisions/placement/placement-types.js';
import type {RankState} from '../wire/generated/vote.js';
import {isSameShape} from './group-shape.js';
import type {GroupView} from './group-view.js';

/** Feeds the reports of a group to its placement planner. */
export type GroupObserver = {
	/** Feeds the reports of one reading of the group to the planner, and returns the planner. */
	readonly observe: (view: GroupView, shape: GroupShape) => Result<PlacementPlanner, PlacementError>;
	/** Ratio of the largest rank time to the mean rank time, each summed over all layers. */
	readonly measureStepSkew: (view: GroupView) => number;
};

/** Dependencies of a group observer. */
export type GroupObserverDeps = Readonly<{
	/** Age beyond which a rank's report is too stale to measure the rank's speed, in milliseconds. */
	staleReportMillis: number;
	onRejectedReport: (error: PlacementError) => void;
}>;

type PreviousReading = Readonly<{
	groupIncarnation: string;
	shape: GroupShape;
	planner: PlacementPlanner;
	/** Step at the previous reading. */
	step: number;
}>;

/** Sums the tokens of each expert of a layer over the ranks. */
function sumTokens(states: readonly RankState[], layer: number): readonly number[] {
	const sums: number[] = [];
	for (const state of states) {
		for (const [expert, tokens] of (state.layers[layer]?.tokens ?? []).entries()) {
			sums[expert] = (sums[expert] ?? 0) + tokens;
		}
	}

	return sums;
}

/** Estimates the tokens that each rank processed over all layers, from the loads that the planner has observed. */
function estimateRankTokens(view: GroupView, planner: PlacementPlanner): readonly number[] {
	const totals = view.members.map(() => 0);
	for (const [layer, map] of view.map.layers.entries()) {
		for (const [rank, tokens] of measureRankTokens(map, planner.readLoads(layer)).entries()) {
			totals[rank] = (totals[rank] ?? 0) + tokens;
		}
	}

	return totals;
}

export function createGroupObserver(deps: GroupObserverDeps): GroupObserver {
	let previous: PreviousReading | undefined;

	function observeLoads(planner: PlacementPlanner, view: GroupView, shape: GroupShape, steps: number): void {
		for (let layer = 0; layer < shape.layers; layer++) {
			const observed = planner.observeLoad(layer, sumTokens(view.states, layer), steps);
			if (!observed.ok) {
				deps.onRejectedReport(observed.error);
			}
		}
	}

	function observeTimings(planner: PlacementPlanner, view: GroupView): void {
		const rankTokens = estimateRankTokens(view, planner);
		planner.observeTimings(view.states.map(({stepMillis, reportAgeMillis}, rank) => ({
			tokens: rankTokens[rank] ?? 0,
			time: reportAgeMillis > deps.staleReportMillis ? undefined : stepMillis,
		})));
	}

	return {
		observe(view, shape) {
			const known = previous?.groupIncarnation === view.groupIncarnation && isSameShape(previous.shape, shape) ? previous : undefined;
			const created = known ? succeed(known.planner) : createPlacementPlanner(shape);
			if (!created.ok) {
				return created;
			}

			const planner = created.value;
			previous = {
				groupIncarnation: view.groupIncarnation, shape, planner, step: view.step,
			};
			// The first report is skipped, since the number of steps that it covers is not known.
			if (known && view.step > known.step) {
				observeLoads(planner, view, shape, view.step - known.step);
				observeTimings(planner, view);
			}

			return created;
		},
		measureStepSkew(view) {
			const planner = previous?.planner;
			let largest = 0;
			let mean = 0;
			for (const [layer, map] of view.map.layers.entries()) {
				const times = planner ? measureRankTimes(map, planner.readLoads(layer), planner.readSlowFactors()) : [];
				for (const time of times) {
					mean += time / times.length;
				}

				largest += Math.max(0, ...times);
			}

			return mean > 0 ? largest / mean : 1;
		},
	};
}
