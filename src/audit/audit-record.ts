/** An event that a process records for auditing. The time and the chain fields are added when it is appended. */
export type AuditEvent
	/** An agent is about to run a non-idempotent call. */
	= | Readonly<{kind: 'call_started'; attemptId: string; account: string; service: string; keyDigest: string; requestDigest: string}>
		/** The outcome of a non-idempotent call is known at the agent. */
		| Readonly<{kind: 'call_finished'; attemptId: string; account: string; service: string; keyDigest: string; outcome: 'answered' | 'unknown'}>
		/** An attempt was refused or tombstoned at the agent, or was never sent. */
		| Readonly<{kind: 'not_run'; attemptId: string; requestId: string; reason: string; proof: 'never_sent' | 'refused' | 'tombstone'}>
		/** An entry reported to a caller the outcome of a request of a non-idempotent class. */
		| Readonly<{kind: 'caller_told'; requestId: string; attemptId: string; account: string; service: string; keyDigest: string; outcome: 'answered' | 'not_run' | 'unknown'; reason: string}>
		/** A streamed answer was delivered completely. */
		| Readonly<{kind: 'stream_ended'; requestId: string; account: string; count: number; digest: string; attempts: number}>
		/** A frame was dropped because it had another attempt id or offset than expected. */
		| Readonly<{kind: 'frame_dropped'; attemptId: string; reason: string}>
		| Readonly<{kind: 'config_in_force'; version: number; changeId: string}>
		| Readonly<{kind: 'vote_cast'; group: string; groupIncarnation: string; epoch: number; fromStep: number; rank: number; vote: 'yes' | 'no'}>
		| Readonly<{kind: 'vote_outcome'; group: string; groupIncarnation: string; epoch: number; fromStep: number; rank: number; outcome: 'committed' | 'aborted'}>
		/** The process learned that it, or its backend server, is about to drain, or no longer is. */
		| Readonly<{kind: 'leaving'; instanceId: string; leaving: boolean; cause: string}>
		/** Work was accepted; recorded only while leaving, when it must not happen. */
		| Readonly<{kind: 'accepted_while_leaving'; attemptId: string}>
		| Readonly<{kind: 'drain_started'; instanceId: string; inFlight: number}>
		| Readonly<{kind: 'drain_ended'; instanceId: string; cutOff: number; lastRequestId: string}>
		/** Records were dropped because the store was unavailable for too long. */
		| Readonly<{kind: 'gap'; dropped: number}>;

/** An event in the chain of one process. */
export type AuditRecord = Readonly<{
	instanceId: string;
	incarnation: string;
	/** Starts at 1 and has no gaps. */
	sequence: number;
	/** ISO 8601. */
	at: string;
	event: AuditEvent;
	/** Hash of the previous record; 64 zeros for the first. */
	previousHash: string;
	/** SHA-256 of this record without this field, in hexadecimal. */
	hash: string;
}>;

/**
 * What happens when the buffer of pending records is full: a `must_keep` record is rejected, and the action that it describes
 * must not take place; `closes_kept` ends something begun under `must_keep` and is always accepted; `may_drop` is dropped and counted.
 */
export type AuditImportance = 'must_keep' | 'closes_kept' | 'may_drop';

/** Accepts audit events without blocking. */
export type AuditRecorder = {
	/** Returns false when the buffer has no room for the record. If it is a `must_keep` record, the call that it describes must be refused. */
	readonly append: (event: AuditEvent, importance: AuditImportance) => boolean;
	/** Whether the buffer has room for a `must_keep` record. */
	readonly hasRoom: () => boolean;
};
