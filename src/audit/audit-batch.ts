import {Buffer} from 'node:buffer';
import type {AuditRecord} from './audit-record.js';

/** Prefix of all audit objects. */
export const AUDIT_PREFIX = 'audit/';

/** Digits of a sequence number in an object key, so that keys sort in order. */
const SEQUENCE_DIGITS = 12;

/** Key of the object that holds a batch of one process, by its first record. */
export function batchKey(first: AuditRecord): string {
	const padded = String(first.sequence).padStart(SEQUENCE_DIGITS, '0');
	return `${AUDIT_PREFIX}${first.instanceId}/${first.incarnation}/${padded}`;
}

/** Records as JSON lines. */
export function encodeBatch(records: readonly AuditRecord[]): Uint8Array {
	return Buffer.from(records.map(record => `${JSON.stringify(record)}\n`).join(''));
}
