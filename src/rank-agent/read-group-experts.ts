import {getAnchorRank, PLANNER_RANK, type GroupRanks} from '../map-switch/group-ranks.js';
import type {GroupExperts, RankExperts} from '../ports/rank-engine.js';

/** Experts of the planner's rank that no other rank holds: each expert is held by some rank, so these must be there. */
function inferPlannerExperts(lists: readonly RankExperts[], expertsPerLayer: number): RankExperts {
	return (lists[0] ?? []).map((_, layer) => {
		const held = new Set(lists.flatMap(list => list[layer] ?? []));
		return Array.from({length: expertsPerLayer}, (__, expert) => expert).filter(expert => !held.has(expert));
	});
}

/** Reads the experts of all ranks but the planner's; of that rank, only the experts that no other rank holds are known. */
async function readWithoutPlanner(ranks: GroupRanks): Promise<readonly RankExperts[] | undefined> {
	const others = ranks.filter((_, rank) => rank !== PLANNER_RANK);
	const [load, ...readings] = await Promise.all([
		ranks[getAnchorRank(ranks.length)]?.readLoad(), ...others.map(async rank => rank.readExperts()),
	]);
	const lists = readings.flatMap(reading => reading.ok ? [reading.value] : []);
	const layers = lists[0]?.length ?? 0;
	return load?.ok && layers > 0 && lists.length === others.length
		? [inferPlannerExperts(lists, load.value.counts.length / layers), ...lists]
		: undefined;
}

async function readAll(ranks: GroupRanks): Promise<readonly RankExperts[] | undefined> {
	const readings = await Promise.all(ranks.map(async rank => rank.readExperts()));
	const lists = readings.flatMap(reading => reading.ok ? [reading.value] : []);
	return lists.length === ranks.length ? lists : undefined;
}

/** Reads the active experts of all ranks, by layer, then by rank; undefined if a rank that is read does not answer. */
export async function readGroupExperts(ranks: GroupRanks, withPlanner = true): Promise<GroupExperts | undefined> {
	const lists = await (withPlanner ? readAll(ranks) : readWithoutPlanner(ranks));
	return lists && (lists[0] ?? []).map((_, layer) => lists.map(list => list[layer] ?? []));
}
