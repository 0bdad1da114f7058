import {match} from 'ts-pattern';
import type {Clock} from '../core/clock.js';
import type {Incarnation, InstanceId} from '../core/ids.js';
import {CHAIN_START, sealRecord} from './audit-chain.js';
import type {
	AuditEvent, AuditImportance, AuditRecord, AuditRecorder,
} from './audit-record.js';

/** Share of the buffer that `may_drop` records may not use. */
const RESERVED_SHARE = 0.5;

/** Identity of the process and size of its buffer. */
export type AuditLogOptions = Readonly<{
	instanceId: InstanceId;
	incarnation: Incarnation;
	/** Number of pending records at which `must_keep` records are rejected. */
	pendingRecords: number;
}>;

/** Buffer of the audit records of this process that are not yet in the object store. */
export type AuditLog = AuditRecorder & {
	/** Pending records, oldest first. */
	readonly readPending: () => readonly AuditRecord[];
	/** Removes the records up to and including `sequence`; called once they are stored. */
	readonly removeThrough: (sequence: number) => void;
	/** Number of records dropped so far. */
	readonly readDropped: () => number;
};

/**
 * Creates the audit log of a process. A dropped record uses no sequence number; a gap record with the number of dropped
 * records precedes the next record that is accepted.
 */
export function createAuditLog(clock: Clock, options: AuditLogOptions): AuditLog {
	const {instanceId, incarnation, pendingRecords} = options;
	const droppableCapacity = Math.floor(pendingRecords * (1 - RESERVED_SHARE));
	let pending: AuditRecord[] = [];
	let sequence = 0;
	let previousHash = CHAIN_START;
	let dropped = 0;
	let unreportedDrops = 0;

	function appendRecord(event: AuditEvent): void {
		sequence += 1;
		const record = sealRecord({
			instanceId, incarnation, sequence, at: clock.now().toISOString(), event, previousHash,
		});
		previousHash = record.hash;
		pending.push(record);
	}

	function appendGapRecord(): void {
		if (unreportedDrops > 0) {
			appendRecord({kind: 'gap', dropped: unreportedDrops});
			unreportedDrops = 0;
		}
	}

	function hasRoomFor(importance: AuditImportance): boolean {
		return match(importance)
			.with('must_keep', () => pending.length < pendingRecords)
			.with('may_drop', () => pending.length < droppableCapacity)
			.with('closes_kept', () => true)
			.exhaustive();
	}

	return {
		append(event, importance) {
			if (!hasRoomFor(importance)) {
				dropped += importance === 'may_drop' ? 1 : 0;
				unreportedDrops += importance === 'may_drop' ? 1 : 0;
				return false;
			}

			appendGapRecord();
			appendRecord(event);
			return true;
		},
		hasRoom: () => hasRoomFor('must_keep'),
		readPending: () => pending,
		removeThrough(storedSequence) {
			pending = pending.filter(record => record.sequence > storedSequence);
		},
		readDropped: () => dropped,
	};
}
