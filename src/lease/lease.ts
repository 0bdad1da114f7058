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
 * A lease in the table service, as one contender sees it. One task drives it: its calls do not overlap.
 *
 * No wall clock is compared between machines. A contender takes a lease over once it has seen the same version of the
 * row for the whole duration; the holder counts its own validity from before it sent the write that made that version.
 */
export type Lease = {
	/** Fencing token to put on an order; undefined when the lease must not be used now. Ask before each order. */
	readonly currentToken: () => number | undefined;
	/** Renews the lease if it is held, tries to acquire it otherwise. */
	readonly renewOrAcquire: () => Promise<Result<LeaseGrant, LeaseError>>;
	/** Gives the lease up, so that another holder need not wait. The fencing token stays in the row. */
	readonly release: () => Promise<void>;
};

/** What a lease needs; `holder` names this contender and is never reused. */
export type LeaseDeps = Readonly<{
	table: TableStore;
	clock: Clock;
	name: string;
	holder: string;
	timing: LeaseTiming;
}>;

type Sighting = Readonly<{rowVersion: number; sinceMillis: number}>;

type WriteOutcome = Result<Row, LeaseError>;

function describeTableError(err: TableError): string {
	return err.tag === 'conflict' ? 'conflict' : err.detail;
}

/** Creates the view of one contender on the lease `deps.name`. */
export function createLease(deps: LeaseDeps): Lease {
	const {table, clock, name, holder, timing} = deps;
	let grant: LeaseGrant | undefined;
	let sighting: Sighting | undefined;

	function isUsable(held: LeaseGrant): boolean {
		return clock.monotonicMillis() < held.validUntilMillis;
	}

	async function settleLostReply(writeId: string): Promise<WriteOutcome> {
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
			.with({tag: 'reply_lost'}, async () => settleLostReply(value.writeId))
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

	/** Whether the holder of the row has been silent for the whole duration, or needs no waiting for. */
	function isFree(rowVersion: number, row: LeaseRow): boolean {
		if (row.holder === '' || row.holder === holder) {
			return true;
		}

		const nowMillis = clock.monotonicMillis();
		if (sighting?.rowVersion !== rowVersion) {
			sighting = {rowVersion, sinceMillis: nowMillis};
		}

		return nowMillis - sighting.sinceMillis >= timing.durationMillis;
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

		return isFree(rowVersion, row)
			? writeGrant(rowVersion, row.fencingToken + 1)
			: fail({tag: 'held', holder: row.holder});
	}

	async function renew(held: LeaseGrant): Promise<Result<LeaseGrant, LeaseError>> {
		const renewed = await writeGrant(held.rowVersion, held.fencingToken);
		if (!renewed.ok && renewed.error.tag !== 'unavailable') {
			// The version of the row is no longer known, or the row is another holder's.
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
