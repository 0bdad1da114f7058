import type {GroupRanks} from '../map-switch/group-ranks.js';
import type {GroupExperts} from '../ports/rank-engine.js';

/** Experts in force at all ranks, by layer, then by rank; undefined when a rank cannot be read. */
export async function readGroupExperts(ranks: GroupRanks): Promise<GroupExperts | undefined> {
	const readings = await Promise.all(ranks.map(async rank => rank.readExperts()));
	const lists = readings.flatMap(reading => reading.ok ? [reading.value] : []);
	return lists.length === ranks.length ? (lists[0] ?? []).map((_, layer) => lists.map(list => list[layer] ?? [])) : undefined;
}
