/** Table that holds the rows of leases. */
export const LEASE_TABLE = 'leases';

/** Name of the lease on planning the expert map of a group; also the key of its row. */
export function createGroupLeaseName(group: string): string {
	return `group/${group}`;
}
