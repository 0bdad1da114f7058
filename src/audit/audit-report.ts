import type {AuditRecord} from './audit-record.js';

/** The promises that records speak of. */
export type PromiseName
	= | 'one_expert_map_per_step'
		| 'whole_answer'
		| 'not_run_is_true'
		| 'at_most_once'
		| 'leaving_gets_no_new_work'
		| 'stop_cuts_nothing_off'
		| 'configuration_never_reverts';

/** A fault in what is stored of one chain. */
export type ChainFault = Readonly<{
	chain: string;
	/** Sequence number at which the fault shows; 0 when a whole object cannot be read. */
	sequence: number;
	kind: 'unreadable' | 'removed' | 'changed' | 'reordered';
	detail: string;
}>;

/** What evidence says of one promise. */
export type PromiseVerdict = Readonly<{
	name: PromiseName;
	verdict: 'held' | 'broken' | 'not_shown';
	/** Why, in one line. */
	detail: string;
}>;

/** What the records say of one promise. */
export type PromiseFinding = PromiseVerdict & Readonly<{
	/** The records that show a breach. */
	records: readonly AuditRecord[];
}>;

/** The outcome of a whole verification. */
export type AuditReport = Readonly<{
	chains: number;
	records: number;
	dropped: number;
	faults: readonly ChainFault[];
	promises: readonly PromiseFinding[];
}>;
