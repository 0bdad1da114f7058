/** What a process records for the auditor. `at` and the chain are added when it is appended. */
export type AuditEvent
	/** An agent is about to run a call that must not be repeated. */
	= | Readonly<{kind: 'call_started'; attemptId: string; account: string; service: string; keyDigest: string; requestDigest: string}>
	/** A call that must not be repeated has its outcome at the agent. */
		| Readonly<{kind: 'call_finished'; attemptId: string; account: string; service: string; keyDigest: string; outcome: 'answered' | 'unknown'}>
	/** An attempt was refused or tombstoned at the agent, or never left the entry. */
		| Readonly<{kind: 'not_run'; attemptId: string; requestId: string; reason: string; proof: 'never_sent' | 'refused' | 'tombstone'}>
	/** An entry told a caller the outcome of a request of a class that must not be repeated. */
		| Readonly<{kind: 'caller_told'; requestId: string; attemptId: string; account: string; service: string; keyDigest: string; outcome: 'answered' | 'not_run' | 'unknown'; reason: string}>
	/** A streamed answer ended whole. */
		| Readonly<{kind: 'stream_ended'; requestId: string; account: string; count: number; digest: string; attempts: number}>
	/** A frame of another attempt or offset was dropped. */
		| Readonly<{kind: 'frame_dropped'; attemptId: string; reason: string}>
		| Readonly<{kind: 'config_in_force'; version: number; changeId: string}>
		| Readonly<{kind: 'vote_cast'; group: string; groupIncarnation: string; epoch: number; fromStep: number; rank: number; vote: 'yes' | 'no'}>
		| Readonly<{kind: 'vote_outcome'; group: string; groupIncarnation: string; epoch: number; fromStep: number; rank: number; outcome: 'committed' | 'aborted'}>
	/** The process knows that it, or its backend server, is to leave. */
		| Readonly<{kind: 'leaving'; instanceId: string; leaving: boolean; cause: string}>
	/** Work was accepted; recorded only while leaving, when it must not happen. */
		| Readonly<{kind: 'accepted_while_leaving'; attemptId: string}>
		| Readonly<{kind: 'drain_started'; instanceId: string; inFlight: number}>
		| Readonly<{kind: 'drain_ended'; instanceId: string; cutOff: number; lastRequestId: string}>
	/** Records were dropped because the store was away for too long. */
		| Readonly<{kind: 'gap'; dropped: number}>;

/** An event in the chain of one process. */
export type AuditRecord = Readonly<{
	instanceId: string;
	incarnation: string;
	/** From 1, without holes. */
	sequence: number;
	/** ISO 8601. */
	at: string;
	event: AuditEvent;
	/** Hash of the record before; 64 zeros for the first. */
	previousHash: string;
	/** SHA-256 over this record without this field, hex. */
	hash: string;
}>;

/**
 * What happens when the room is full: `must_keep` is not taken, and what it is about must not happen;
 * `closes_kept` ends something begun under `must_keep` and is always taken; `may_drop` is dropped and counted.
 */
export type AuditImportance = 'must_keep' | 'closes_kept' | 'may_drop';

/** Takes records; never waits. */
export type AuditRecorder = {
	/** False when a record that must be kept has no room: then the call it is about must be refused. */
	readonly append: (event: AuditEvent, importance: AuditImportance) => boolean;
	/** Whether a record that must be kept would find room. */
	readonly hasRoom: () => boolean;
};
