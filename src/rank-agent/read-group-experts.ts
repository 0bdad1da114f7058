import {getAnchorRank, PLANNER_RANK, type GroupRanks} from '../map-switch/group-ranks.js';
import type {GroupExperts, RankExperts} from '../ports/rank-engine.js';

/** Experts that no other rank holds, so that only the rank left out can hold them. */
function completeRank(lists: readonly RankExperts[], expertsPerLayer: number): RankExperts {
	return (lists[0] ?? []).map((_, layer) => {
		const held = new Set(lists.flatMap(list => list[layer] ?? []));
		return Array.from({length: expertsPerLayer}, (__, expert) => expert).filter(expert => !held.has(expert));
	});
}

/** Reads the experts of all ranks but the planner's; of its experts only those are known that no other rank holds. */
async function readWithoutPlanner(ranks: GroupRanks): Promise<readonly RankExperts[] | undefined> {
	const others = ranks.filter((_, rank) => rank !== PLANNER_RANK);
	const [load, ...readings] = await Promise.all([
		ranks[getAnchorRank(ranks.length)]?.readLoad(), ...others.map(async rank => rank.readExperts()),
	]);
	const lists = readings.flatMap(reading => reading.ok ? [reading.value] : []);
	const layers = lists[0]?.length ?? 0;
	return load?.ok && layers > 0 && lists.length === others.length
		? [completeRank(lists, load.value.counts.length / layers), ...lists]
		: undefined;
}

async function readAll(ranks: GroupRanks): Promise<readonly RankExperts[] | undefined> {
	const readings = await Promise.all(ranks.map(async rank => rank.readExperts()));
	const lists = readings.flatMap(reading => reading.ok ? [reading.value] : []);
	return lists.length === ranks.length ? lists : undefined;
}

/** Experts in force at all ranks, by layer, then by rank; undefined when a rank that is asked cannot be read. */
export async function readGroupExperts(ranks: GroupRanks, withPlanner = true): Promise<GroupExperts | undefined> {
	const lists = await (withPlanner ? readAll(ranks) : readWithoutPlanner(ranks));
	return lists && (lists[0] ?? []).map((_, layer) => lists.map(list => list[layer] ?? []));
}
