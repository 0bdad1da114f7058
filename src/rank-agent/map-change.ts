/** Maps as their differences to other maps: a whole map for each rank would occupy the planner's link for seconds in a large group. */
import {sha256Hex} from '../core/digest.js';
import type {GroupExperts} from '../ports/rank-engine.js';
import type {MapChange} from '../wire/generated/rank.js';

/** Number of maps that an agent remembers: the active one, a prepared one and those that were abandoned. */
const REMEMBERED_MAPS = 4;

/** Digest of a map; the order in which a rank lists its experts does not count. */
export function digestMap(map: GroupExperts): string {
	return sha256Hex(JSON.stringify(map.map(layer => layer.map(experts => experts.toSorted((left, right) => left - right)))));
}

function countExperts(map: GroupExperts): number {
	return 1 + Math.max(-1, ...(map[0] ?? []).flat());
}

/** Map that a group has before its first switch: the experts are assigned to the ranks in turn. */
function createFirstMap({layers, ranks, experts}: Pick<MapChange, 'layers' | 'ranks' | 'experts'>): GroupExperts {
	const layer = Array.from({length: ranks}, (_, rank) =>
		Array.from({length: Math.ceil((experts - rank) / ranks)}, (__, turn) => rank + (turn * ranks)));
	return Array.from({length: layers}, () => layer);
}

/** Describes `map` by its differences to `base`; undefined if the maps differ in shape. */
export function describeChange(base: GroupExperts, map: GroupExperts): MapChange | undefined {
	const ranks = map[0]?.length ?? 0;
	if (base.length !== map.length || base.some(layer => layer.length !== ranks)) {
		return undefined;
	}

	return {
		baseDigest: digestMap(base),
		digest: digestMap(map),
		layers: map.length,
		ranks,
		experts: countExperts(map),
		changes: map.flatMap((layer, i) => layer.flatMap((experts, rank) => {
			const before = base[i]?.[rank] ?? [];
			const isSame = experts.length === before.length && experts.every((expert, place) => expert === before[place]);
			return isSame ? [] : [{layer: i, rank, experts: [...experts]}];
		})),
	};
}

/** Describes changes; each is computed once, although it is sent to all ranks. */
export function createChangeDescriber(): typeof describeChange {
	let last: Readonly<{base: GroupExperts; map: GroupExperts; change: MapChange | undefined}> | undefined;
	return (base, map) => {
		if (last?.base !== base || last.map !== map) {
			last = {base, map, change: describeChange(base, map)};
		}

		return last.change;
	};
}

/** The maps that an agent knows. */
export type MapMemory = Readonly<{
	remember: (map: GroupExperts) => void;
	/** Records that a version has this map. */
	rememberVersion: (version: number, map: GroupExperts) => void;
	/** The map of a version; undefined if it is not known. */
	readVersion: (version: number) => GroupExperts | undefined;
	/** The map that a change results in; undefined if its base is not known. */
	resolve: (change: MapChange) => GroupExperts | undefined;
}>;

/** Creates a memory that knows only the first map of a group. */
export function createMapMemory(): MapMemory {
	const maps = new Map<string, GroupExperts>();
	const mapsByVersion = new Map<number, GroupExperts>();

	function remember(map: GroupExperts): void {
		const digest = digestMap(map);
		maps.delete(digest);
		maps.set(digest, map);
		for (const oldest of [...maps.keys()].slice(0, -REMEMBERED_MAPS)) {
			maps.delete(oldest);
		}
	}

	function findBase(change: MapChange): GroupExperts | undefined {
		const known = maps.get(change.baseDigest);
		if (known) {
			return known;
		}

		const firstMap = createFirstMap(change);
		return digestMap(firstMap) === change.baseDigest ? firstMap : undefined;
	}

	return {
		remember,
		rememberVersion(version, map) {
			mapsByVersion.delete(version);
			mapsByVersion.set(version, map);
			for (const oldest of [...mapsByVersion.keys()].slice(0, -REMEMBERED_MAPS)) {
				mapsByVersion.delete(oldest);
			}
		},
		readVersion: version => mapsByVersion.get(version),
		resolve(change) {
			const base = findBase(change);
			if (!base) {
				return undefined;
			}

			const changed = new Map(change.changes.map(({layer, rank, experts}) => [`${layer}/${rank}`, experts]));
			const map = base.map((ranks, layer) => ranks.map((experts, rank) => changed.get(`${layer}/${rank}`) ?? experts));
			// All ranks must get the same map, so a wrong result must never reach an engine.
			if (digestMap(map) !== change.digest) {
				return undefined;
			}

			remember(map);
			return map;
		},
	};
}
