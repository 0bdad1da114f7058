import {match} from 'ts-pattern';
import type {Clock} from '../core/clock.js';
import {createId} from '../core/ids.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {Row, TableError, TableStore} from '../ports/table-store.js';
import {LEASE_TABLE} from './group-lease-name.js';
import {parseLeaseRow, VACANT_LEASE_ROW} from './lease-row.js';
import type {
	LeaseError, LeaseGrant, LeaseRow, LeaseTiming,
} from './lease-types.js';

/**
 * A lease in the table service, from the point of view of one contender. It is used by one task: its calls must not overlap.
 *
 * No wall clocks are compared between machines. A contender takes a lease over once it has seen the same version of the
 * row for the whole duration. The holder counts its own validity from before it sent the write that created that version.
 */
export type Lease = {
	/** Fencing token for an order; undefined when the lease is not valid now. Must be read again before each order. */
	readonly currentToken: () => number | undefined;
	/** Renews the lease if it is held, otherwise tries to acquire it. */
	readonly renewOrAcquire: () => Promise<Result<LeaseGrant, LeaseError>>;
	/** Releases the lease, so that another holder can acquire it without waiting. The fencing token stays in the row. */
	readonly release: () => Promise<void>;
};

/** Dependencies of a lease; `holder` identifies this contender and must never be reused. */
export type LeaseDeps = Readonly<{
	table: TableStore;
	clock: Clock;
	name: string;
	holder: string;
	timing: LeaseTiming;
}>;

type SeenVersion = Readonly<{rowVersion: number; sinceMillis: number}>;

type WriteOutcome = Result<Row, LeaseError>;

function describeTableError(err: TableError): string {
	return err.tag === 'conflict' ? 'conflict' : err.detail;
}

/** Creates one contender's view of the lease `deps.name`. */
export function createLease(deps: LeaseDeps): Lease {
	const {table, clock, name, holder, timing} = deps;
	let grant: LeaseGrant | undefined;
	let lastSeen: SeenVersion | undefined;

	function isUsable(held: LeaseGrant): boolean {
		return clock.monotonicMillis() < held.validUntilMillis;
	}

	async function readWriteOutcome(writeId: string): Promise<WriteOutcome> {
		const found = await table.read(LEASE_TABLE, name);
		if (!found.ok) {
			return fail({tag: 'unsettled', detail: describeTableError(found.error)});
		}

		const row = found.value;
		return row && parseLeaseRow(row.value)?.writeId === writeId ? succeed(row) : fail({tag: 'lost'});
	}

	async function write(expectedVersion: number, value: LeaseRow): Promise<WriteOutcome> {
		const written = await table.transact({
			conditions: [{table: LEASE_TABLE, key: name, version: expectedVersion}],
			writes: [{table: LEASE_TABLE, key: name, value}],
		});
		if (written.ok) {
			const row = written.value[0];
			return row ? succeed(row) : fail({tag: 'malformed'});
		}

		return match(written.error)
			.with({tag: 'conflict'}, async (): Promise<WriteOutcome> => fail({tag: 'lost'}))
			.with({tag: 'unavailable'}, async ({detail}): Promise<WriteOutcome> => fail({tag: 'unavailable', detail}))
			.with({tag: 'reply_lost'}, async () => readWriteOutcome(value.writeId))
			.exhaustive();
	}

	async function writeGrant(expectedVersion: number, fencingToken: number): Promise<Result<LeaseGrant, LeaseError>> {
		const sentMillis = clock.monotonicMillis();
		const written = await write(expectedVersion, {holder, fencingToken, writeId: createId()});
		if (!written.ok) {
			return written;
		}

		grant = {
			fencingToken,
			rowVersion: written.value.version,
			validUntilMillis: sentMillis + timing.durationMillis - timing.safetyMarginMillis,
		};
		return succeed(grant);
	}

	/** Whether the lease can be acquired: it is released, it is this contender's own, or it was not renewed for the whole duration. */
	function isAcquirable(rowVersion: number, row: LeaseRow): boolean {
		if (row.holder === '' || row.holder === holder) {
			return true;
		}

		const nowMillis = clock.monotonicMillis();
		if (lastSeen?.rowVersion !== rowVersion) {
			lastSeen = {rowVersion, sinceMillis: nowMillis};
		}

		return nowMillis - lastSeen.sinceMillis >= timing.durationMillis;
	}

	async function acquire(): Promise<Result<LeaseGrant, LeaseError>> {
		const found = await table.read(LEASE_TABLE, name);
		if (!found.ok) {
			return fail({tag: 'unavailable', detail: describeTableError(found.error)});
		}

		const rowVersion = found.value?.version ?? 0;
		const row = found.value ? parseLeaseRow(found.value.value) : VACANT_LEASE_ROW;
		if (!row) {
			return fail({tag: 'malformed'});
		}

		return isAcquirable(rowVersion, row)
			? writeGrant(rowVersion, row.fencingToken + 1)
			: fail({tag: 'held', holder: row.holder});
	}

	async function renew(held: LeaseGrant): Promise<Result<LeaseGrant, LeaseError>> {
		const renewed = await writeGrant(held.rowVersion, held.fencingToken);
		if (!renewed.ok && renewed.error.tag !== 'unavailable') {
			// The version of the row is no longer known, or the row belongs to another holder.
			grant = undefined;
		}

		return renewed;
	}

	return {
		currentToken: () => grant && isUsable(grant) ? grant.fencingToken : undefined,
		async renewOrAcquire() {
			if (grant && isUsable(grant)) {
				return renew(grant);
			}

			grant = undefined;
			return acquire();
		},
		async release() {
			const held = grant;
			grant = undefined;
			if (held) {
				await write(held.rowVersion, {holder: '', fencingToken: held.fencingToken, writeId: createId()});
			}
		},
	};
}
