import {z} from 'zod';
import type {LeaseRow} from './lease-types.js';

const leaseRowSchema = z.strictObject({
	holder: z.string(),
	fencingToken: z.number().int().nonnegative(),
	writeId: z.string(),
});

/** The row of a lease that nobody has ever held. */
export const VACANT_LEASE_ROW: LeaseRow = {holder: '', fencingToken: 0, writeId: ''};

/** Reads the value of a row; undefined when it is not the row of a lease. */
export function parseLeaseRow(value: unknown): LeaseRow | undefined {
	return leaseRowSchema.safeParse(value).data;
}
