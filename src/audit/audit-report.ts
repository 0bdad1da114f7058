import type {AuditRecord} from './audit-record.js';

/** The promises that can be checked against records or log lines. */
export type PromiseName
	= | 'one_expert_map_per_step'
		| 'whole_answer'
		| 'not_run_is_true'
		| 'at_most_once'
		| 'leaving_gets_no_new_work'
		| 'stop_cuts_nothing_off'
		| 'configuration_never_reverts';

/** A fault in the stored records of one chain. */
export type ChainFault = Readonly<{
	chain: string;
	/** Sequence number of the record at which the fault was detected; 0 for a line that is not a record of the chain. */
	sequence: number;
	kind: 'unreadable' | 'removed' | 'changed' | 'reordered';
	detail: string;
}>;

/** Verdict on one promise. */
export type PromiseVerdict = Readonly<{
	name: PromiseName;
	verdict: 'held' | 'broken' | 'not_shown';
	/** Reason for the verdict, in one line. */
	detail: string;
}>;

/** Verdict on one promise from the audit records. */
export type PromiseFinding = PromiseVerdict & Readonly<{
	/** The records that show a breach. */
	records: readonly AuditRecord[];
}>;

/** Result of verifying all chains. */
export type AuditReport = Readonly<{
	chains: number;
	records: number;
	dropped: number;
	faults: readonly ChainFault[];
	promises: readonly PromiseFinding[];
}>;
