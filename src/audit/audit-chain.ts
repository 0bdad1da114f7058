import {sha256Hex} from '../core/digest.js';
import type {AuditRecord} from './audit-record.js';

/** Previous hash of the first record of a chain. */
export const CHAIN_START = '0'.repeat(64);

/** Computes the hash of a record over all of its fields except the hash. */
export function hashRecord(record: Omit<AuditRecord, 'hash'>): string {
	const {instanceId, incarnation, sequence, at, event, previousHash} = record;
	return sha256Hex(JSON.stringify([instanceId, incarnation, sequence, at, event, previousHash]));
}

/** Adds the hash to a record. */
export function sealRecord(record: Omit<AuditRecord, 'hash'>): AuditRecord {
	return {...record, hash: hashRecord(record)};
}
