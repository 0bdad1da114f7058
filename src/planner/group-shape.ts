import type {GroupShape} from '../decisions/placement/placement-types.js';
import type {GroupView} from './group-view.js';
import {DEFAULT_SPARE_SLOTS} from './planner-constants.js';

/** Derives the shape of a group from the reports of its ranks; undefined while they report no experts. */
export function findGroupShape(view: GroupView): GroupShape | undefined {
	const reported = view.states.find(({layers}) => layers.length > 0)?.layers ?? [];
	const experts = reported[0]?.tokens.length ?? 0;
	const ranks = view.members.length;
	if (experts === 0) {
		return undefined;
	}

	const slotsPerRank = view.map.layers[0]?.slotsPerRank ?? 0;
	return {
		ranks,
		experts,
		layers: view.map.layers.length > 0 ? view.map.layers.length : reported.length,
		slotsPerRank: slotsPerRank > 0 ? slotsPerRank : Math.ceil(experts / ranks) + DEFAULT_SPARE_SLOTS,
	};
}

export function isSameShape(left: GroupShape, right: GroupShape): boolean {
	return left.ranks === right.ranks
		&& left.experts === right.experts
		&& left.layers === right.layers
		&& left.slotsPerRank === right.slotsPerRank;
}
