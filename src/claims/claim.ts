/**
 * Claims on idempotency keys, kept in the table service.
 *
 * The row of a key names the only attempt that may start its call. It changes only once it is certain that this attempt
 * will never start, so two attempts of a key never run. Rows of ended calls stay, so that a retry with the key finds
 * them. How long they stay is configured in the table service; a key must not be used again after its row has
 * expired.
 */
import {z} from 'zod';
import type {AttemptId} from '../core/ids.js';
import type {TableError, TableStore} from '../ports/table-store.js';

/** Table that holds the claims. */
export const CLAIMS_TABLE = 'claims';
/** Maximum number of writes of the same claim, when a reply was lost and the row does not show the write. */
const MAX_CLAIM_WRITES = 2;

const claimSchema = z.strictObject({
	account: z.string(),
	/** See `digestKey`; the key of the row. */
	keyDigest: z.string(),
	requestDigest: z.string(),
	agentId: z.string(),
	agentIncarnation: z.string(),
	linkAddress: z.string(),
	attemptId: z.string(),
});

/** The attempt that may start the call of a key, and its agent. */
export type Claim = Readonly<z.infer<typeof claimSchema>>;

/** A claim as stored in the table; `version` is that of the row, 0 when there is none. */
export type ClaimRow = Readonly<{version: number; claim: Claim}>;

/** Outcome of writing a claim. */
export type ClaimWriteResult
	/** The row holds the claim. */
	= | Readonly<{tag: 'held'; row: ClaimRow}>
		/** The row holds another claim. */
		| Readonly<{tag: 'taken'; row: ClaimRow}>
		/** The table cannot be reached; the claim may have been written. */
		| Readonly<{tag: 'unavailable'; detail: string}>;

function parseRow(version: number, value: unknown): ClaimRow | undefined {
	const parsed = claimSchema.safeParse(value);
	return parsed.success ? {version, claim: parsed.data} : undefined;
}

function describeTableError(error: TableError): string {
	return error.tag === 'conflict' ? 'conflict' : `${error.tag}: ${error.detail}`;
}

function toWriteResult(row: ClaimRow, attemptId: AttemptId): ClaimWriteResult {
	return {tag: row.claim.attemptId === attemptId ? 'held' : 'taken', row};
}

/** Writes the claim if the row of its key still has `version`; after a lost reply the row is read to find the outcome. */
export async function writeClaim(table: TableStore, claim: Claim, version: number): Promise<ClaimWriteResult> {
	let detail = '';
	for (let writes = 0; writes < MAX_CLAIM_WRITES; writes++) {
		/* eslint-disable no-await-in-loop -- Each write follows the outcome of the one before. */
		const written = await table.transact({
			conditions: [{table: CLAIMS_TABLE, key: claim.keyDigest, version}],
			writes: [{table: CLAIMS_TABLE, key: claim.keyDigest, value: claim}],
		});
		if (written.ok) {
			return {tag: 'held', row: {version: written.value[0]?.version ?? version + 1, claim}};
		}

		if (written.error.tag === 'unavailable') {
			return {tag: 'unavailable', detail: describeTableError(written.error)};
		}

		const settled = await readAfterWrite(table, claim, version);
		if (settled) {
			return settled;
		}

		detail = describeTableError(written.error);
		/* eslint-enable no-await-in-loop */
	}

	return {tag: 'unavailable', detail};
}

/** Determines the outcome of a write from the row; undefined when the write has not taken effect yet. */
async function readAfterWrite(table: TableStore, claim: Claim, version: number): Promise<ClaimWriteResult | undefined> {
	const read = await table.read(CLAIMS_TABLE, claim.keyDigest);
	if (!read.ok) {
		return {tag: 'unavailable', detail: describeTableError(read.error)};
	}

	if (!read.value || read.value.version === version) {
		return undefined;
	}

	const row = parseRow(read.value.version, read.value.value);
	return row ? toWriteResult(row, claim.attemptId) : {tag: 'unavailable', detail: 'the claim row is ill-formed'};
}

/** Outcome of reading the row of a key. */
export type ClaimReadResult
	= | Readonly<{tag: 'present'; row: ClaimRow}>
		| Readonly<{tag: 'absent'}>
		| Readonly<{tag: 'unavailable'; detail: string}>;

/** Reads the row of a key. */
export async function readClaim(table: TableStore, keyDigest: string): Promise<ClaimReadResult> {
	const read = await table.read(CLAIMS_TABLE, keyDigest);
	if (!read.ok) {
		return {tag: 'unavailable', detail: describeTableError(read.error)};
	}

	if (!read.value) {
		return {tag: 'absent'};
	}

	const row = parseRow(read.value.version, read.value.value);
	return row ? {tag: 'present', row} : {tag: 'unavailable', detail: 'the claim row is ill-formed'};
}
