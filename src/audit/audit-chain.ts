import {sha256Hex} from '../core/digest.js';
import type {AuditRecord} from './audit-record.js';

/** The hash before the first record of a chain. */
export const CHAIN_START = '0'.repeat(64);

/** Hash of a record over everything in it but the hash itself. */
export function hashRecord(record: Omit<AuditRecord, 'hash'>): string {
	const {instanceId, incarnation, sequence, at, event, previousHash} = record;
	return sha256Hex(JSON.stringify([instanceId, incarnation, sequence, at, event, previousHash]));
}

/** Completes a record with its hash. */
export function sealRecord(record: Omit<AuditRecord, 'hash'>): AuditRecord {
	return {...record, hash: hashRecord(record)};
}
