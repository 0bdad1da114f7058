/**
 * Lowest fencing token that an agent takes.
 *
 * An agent that has just started knows no floor. It learns it from the row of the group's lease, or from a peer: the
 * vote is unanimous, so every peer has seen the token of every committed proposal.
 */
import {createGroupLeaseName, LEASE_TABLE} from '../lease/group-lease-name.js';
import {parseLeaseRow} from '../lease/lease-row.js';
import type {TableStore} from '../ports/table-store.js';

/** The floor of one group. */
export type FencingFloor = {
	/** The floor; undefined while it is not known. */
	readonly read: () => number | undefined;
	/** Highest token seen, whether or not the floor is known. */
	readonly highestToken: () => number;
	/** Notes a token that was seen in a proposal. */
	readonly recordToken: (token: number) => void;
	/** Takes over the floor of a peer; 0 means that it knows none. */
	readonly learnFromPeer: (floor: number) => void;
	/** Looks at the row of the lease. An unreachable table changes nothing, and neither does a row that is not there. */
	readonly learnFromTable: () => Promise<void>;
};

/** Creates the floor of `group`, not known yet. */
export function createFencingFloor(table: TableStore, group: string): FencingFloor {
	let highest = 0;
	let isKnown = false;

	function raise(token: number): void {
		highest = Math.max(highest, token);
	}

	return {
		read: () => isKnown ? highest : undefined,
		highestToken: () => highest,
		recordToken: raise,
		learnFromPeer(floor) {
			if (floor > 0) {
				raise(floor);
				isKnown = true;
			}
		},
		async learnFromTable() {
			const row = await table.read(LEASE_TABLE, createGroupLeaseName(group));
			if (!row.ok) {
				return;
			}

			const lease = row.value && parseLeaseRow(row.value.value);
			if (lease) {
				raise(lease.fencingToken);
				isKnown = true;
			}
		},
	};
}
