/** The slow ranks of all groups, as an entry knows them from the rows of their planners. */
import type {Clock} from '../core/clock.js';
import type {Teardown} from '../core/teardown.js';
import type {TableListener} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {FeedRow} from '../ports/table-feed.js';
import type {RankGroupMembership} from '../gateway/backend-server.js';
import {parseSlowRanks, SLOW_RANK_TTL_MILLIS, type SlowRanks} from './slow-rank-row.js';

/** Slow ranks and the listener that updates them. */
export type SlowRankList = Readonly<{
	/** Whether this rank is slow; false for a backend server without a group. */
	isSlow: (group: RankGroupMembership | undefined) => boolean;
	/** Calls `listener` whenever rows have been read, until the teardown is called. */
	registerListener: (listener: () => void) => Teardown;
	/** Takes the rows of the table over. */
	listener: TableListener;
}>;

/** A row with the monotonic time at which it was read. */
type Known = SlowRanks & Readonly<{atMillis: number}>;

/** Creates an empty list. */
export function createSlowRankList({clock, log}: Readonly<{clock: Clock; log: Log}>): SlowRankList {
	const byGroup = new Map<string, Known>();
	const listeners = new Set<() => void>();

	function applyRow({key, text}: FeedRow): void {
		const row = text === undefined ? undefined : parseSlowRanks(text);
		const before = byGroup.get(key);
		if (row) {
			byGroup.set(key, {...row, atMillis: clock.monotonicMillis()});
		} else {
			byGroup.delete(key);
		}

		if ((before?.ranks ?? []).join(' ') !== (row?.ranks ?? []).join(' ')) {
			log.info('slow ranks', {group: key, epoch: row?.epoch, ranks: row?.ranks.join(' ')});
		}
	}

	function applyRows(rows: readonly FeedRow[]): void {
		for (const row of rows) {
			applyRow(row);
		}

		for (const listener of listeners) {
			listener();
		}
	}

	return {
		isSlow(group) {
			const known = group && byGroup.get(group.name);
			return known !== undefined && known.epoch === group?.epoch && known.ranks.includes(group.rank) && clock.monotonicMillis() - known.atMillis < SLOW_RANK_TTL_MILLIS;
		},
		registerListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
		listener: {
			onSnapshot(rows) {
				byGroup.clear();
				applyRows(rows);
			},
			onChanges: applyRows,
		},
	};
}
