import {EMPTY_SLOT} from '../../src/decisions/placement/initial-map.js';
import type {LayerMap} from '../../src/ports/model-engine.js';
import {findBestAssignment} from './best-assignment.js';

/** Cost that excludes an assignment; far above the number of experts on a rank. */
const FORBIDDEN_COST = 1e9;

function listRankSlots(map: LayerMap, rank: number): readonly number[] {
	return map.slots.slice(rank * map.slotsPerRank, (rank + 1) * map.slotsPerRank);
}

/** Slots of a rank that is to hold `experts`; those that it already holds keep their slots. */
function fillRank(held: readonly number[], experts: ReadonlySet<number>): readonly number[] {
	const arriving = [...experts].filter(expert => !held.includes(expert));
	return held.map(expert => experts.has(expert) ? expert : arriving.shift() ?? EMPTY_SLOT);
}

/** Assigns each bundle of experts to a rank of the same speed so that as few copies as possible move. */
export function relabelSlots(map: LayerMap, bundles: ReadonlyArray<ReadonlySet<number>>, slowFactors: readonly number[]): LayerMap {
	const cost = bundles.map((experts, bundle) => slowFactors.map((slowFactor, rank) => {
		const keptCount = listRankSlots(map, rank).filter(expert => experts.has(expert)).length;
		return slowFactor === slowFactors[bundle] ? experts.size - keptCount : FORBIDDEN_COST;
	}));
	const bundleOfRank = new Map(findBestAssignment(cost).map((rank, bundle) => [rank, bundle]));
	const slots = slowFactors.flatMap((_, rank) => fillRank(listRankSlots(map, rank), bundles[bundleOfRank.get(rank) ?? rank] ?? new Set()));
	return {slotsPerRank: map.slotsPerRank, slots};
}
