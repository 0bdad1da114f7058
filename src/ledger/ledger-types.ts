import type {AccountName, AttemptId} from '../core/ids.js';
import type {UnknownReason} from '../core/outcome.js';

/** How a call that must not be repeated ended. `body` is undefined when it is kept no more. */
export type LedgerOutcome
	= | Readonly<{tag: 'answered'; status: number; body: Uint8Array | undefined}>
		| Readonly<{tag: 'unknown'; reason: UnknownReason}>;

/** State of a key: its call runs, or ended for good. */
export type LedgerState = Readonly<{tag: 'running'}> | LedgerOutcome;

/** What the ledger holds for one key of one account. */
export type LedgerEntry = Readonly<{
	account: AccountName;
	/** Digest of the idempotency key; see `digestKey`. */
	keyDigest: string;
	requestDigest: string;
	/** The attempt that runs, or ran, the call. */
	attemptId: AttemptId;
	state: LedgerState;
}>;

/** A call as the ledger sees it. */
export type LedgerCall = Readonly<{
	account: AccountName;
	keyDigest: string;
	requestDigest: string;
	attemptId: AttemptId;
	/** Agent incarnation that the key belongs to; empty when it names none. */
	boundIncarnation: string;
}>;

/** End of a running call for those that joined it: its end, or a proof that it did not run after all. */
export type JoinedOutcome = LedgerOutcome | Readonly<{tag: 'not_run'}>;

/** What is to be done with a call. */
export type LedgerDecision
	/** The first call of its key: run it, then report its end. */
	= | Readonly<{tag: 'run'}>
	/** The key's call is running. */
		| Readonly<{tag: 'join'; end: Promise<JoinedOutcome>}>
	/** The key's call has ended. */
		| Readonly<{tag: 'ended'; end: LedgerOutcome}>
	/** This call does not run. */
		| Readonly<{tag: 'refused'; reason: 'key_reused' | 'binding_expired' | 'ledger_full'}>;
