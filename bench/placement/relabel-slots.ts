import {EMPTY_SLOT} from '../../src/decisions/placement/initial-map.js';
import type {LayerMap} from '../../src/ports/model-engine.js';
import {findBestAssignment} from './best-assignment.js';

/** Cost that rules an assignment out. */
const FORBIDDEN = 1e9;

function listRank(map: LayerMap, rank: number): readonly number[] {
	return map.slots.slice(rank * map.slotsPerRank, (rank + 1) * map.slotsPerRank);
}

/** Slots of a rank that is to hold `experts`: those that it holds stay where they are. */
function fillRank(held: readonly number[], experts: ReadonlySet<number>): readonly number[] {
	const arriving = [...experts].filter(expert => !held.includes(expert));
	return held.map(expert => experts.has(expert) ? expert : arriving.shift() ?? EMPTY_SLOT);
}

/** Gives bundles of experts to the ranks of equal pace so that as few copies as possible move. */
export function relabelSlots(map: LayerMap, bundles: ReadonlyArray<ReadonlySet<number>>, slowFactors: readonly number[]): LayerMap {
	const cost = bundles.map((experts, bundle) => slowFactors.map((slowFactor, rank) => {
		const staying = listRank(map, rank).filter(expert => experts.has(expert)).length;
		return slowFactor === slowFactors[bundle] ? experts.size - staying : FORBIDDEN;
	}));
	const bundleOfRank = new Map(findBestAssignment(cost).map((rank, bundle) => [rank, bundle]));
	const slots = slowFactors.flatMap((_, rank) => fillRank(listRank(map, rank), bundles[bundleOfRank.get(rank) ?? rank] ?? new Set()));
	return {slotsPerRank: map.slotsPerRank, slots};
}
