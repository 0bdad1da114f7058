import {Buffer} from 'node:buffer';
import type {AuditRecord} from './audit-record.js';

/** Prefix of the keys of all audit objects. */
export const AUDIT_PREFIX = 'audit/';

/** Width to which a sequence number is zero-padded in an object key, so that keys sort in the order of the records. */
const SEQUENCE_DIGITS = 12;

/** Key of the object that holds a batch of one process, derived from the first record of the batch. */
export function batchKey(first: AuditRecord): string {
	const padded = String(first.sequence).padStart(SEQUENCE_DIGITS, '0');
	return `${AUDIT_PREFIX}${first.instanceId}/${first.incarnation}/${padded}`;
}

/** Encodes records as JSON lines. */
export function encodeBatch(records: readonly AuditRecord[]): Uint8Array {
	return Buffer.from(records.map(record => `${JSON.stringify(record)}\n`).join(''));
}
