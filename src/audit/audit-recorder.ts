import {match} from 'ts-pattern';
import type {Clock} from '../core/clock.js';
import type {Incarnation, InstanceId} from '../core/ids.js';
import {CHAIN_START, sealRecord} from './audit-chain.js';
import type {
	AuditEvent, AuditImportance, AuditRecord, AuditRecorder,
} from './audit-record.js';

/** Share of the room that only records that must be kept may use. */
const RESERVED_SHARE = 0.5;

/** Whose records these are, and how many may wait. */
export type AuditLogOptions = Readonly<{
	instanceId: InstanceId;
	incarnation: Incarnation;
	pendingRecords: number;
}>;

/** The records of this process that are not yet in the object store. */
export type AuditLog = AuditRecorder & {
	/** Records in order, oldest first. */
	readonly readPending: () => readonly AuditRecord[];
	/** Forgets the records up to and including `sequence`, once they are stored. */
	readonly removeThrough: (sequence: number) => void;
	/** Records dropped so far. */
	readonly readDropped: () => number;
};

/** Creates the audit log of a process. A dropped record uses no sequence number; a gap record tells of it as soon as there is room. */
export function createAuditLog(clock: Clock, options: AuditLogOptions): AuditLog {
	const {instanceId, incarnation, pendingRecords} = options;
	const droppableRoom = Math.floor(pendingRecords * (1 - RESERVED_SHARE));
	let pending: AuditRecord[] = [];
	let sequence = 0;
	let previousHash = CHAIN_START;
	let dropped = 0;
	let unreportedDrops = 0;

	function seal(event: AuditEvent): void {
		sequence += 1;
		const record = sealRecord({
			instanceId, incarnation, sequence, at: clock.now().toISOString(), event, previousHash,
		});
		previousHash = record.hash;
		pending.push(record);
	}

	function reportDrops(): void {
		if (unreportedDrops > 0) {
			seal({kind: 'gap', dropped: unreportedDrops});
			unreportedDrops = 0;
		}
	}

	function hasRoomFor(importance: AuditImportance): boolean {
		return match(importance)
			.with('must_keep', () => pending.length < pendingRecords)
			.with('may_drop', () => pending.length < droppableRoom)
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

			reportDrops();
			seal(event);
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
