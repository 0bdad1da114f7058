import {CHAIN_START, hashRecord} from './audit-chain.js';
import type {AuditRecord} from './audit-record.js';
import type {ChainFault} from './audit-report.js';

/** Checks sequence numbers and hashes of the records of one chain, in the order in which they are stored. */
export function checkChain(chain: string, records: readonly AuditRecord[]): readonly ChainFault[] {
	const faults: ChainFault[] = [];
	let expectedSequence = 1;
	let previousHash = CHAIN_START;
	for (const record of records) {
		const fault = checkRecord(chain, record, expectedSequence, previousHash);
		if (fault) {
			faults.push(fault);
		}

		expectedSequence = record.sequence + 1;
		previousHash = record.hash;
	}

	return faults;
}

function checkRecord(chain: string, record: AuditRecord, expectedSequence: number, previousHash: string): ChainFault | undefined {
	const {sequence} = record;
	if (record.hash !== hashRecord(record)) {
		return {
			chain, sequence, kind: 'changed', detail: 'the hash does not fit the record',
		};
	}

	if (sequence > expectedSequence) {
		return {
			chain, sequence, kind: 'removed', detail: `records ${expectedSequence} to ${sequence - 1} are missing`,
		};
	}

	if (sequence < expectedSequence) {
		return {
			chain, sequence, kind: 'reordered', detail: `record ${sequence} stands where ${expectedSequence} belongs`,
		};
	}

	if (record.previousHash !== previousHash) {
		return {
			chain, sequence, kind: 'changed', detail: 'the hash of the record before does not fit',
		};
	}

	return undefined;
}
