import type {AccountName, AttemptId} from '../core/ids.js';
import type {UnknownReason} from '../core/outcome.js';

/** Outcome of a call that must not run twice. `body` is undefined once it has been dropped. */
export type LedgerOutcome
	= | Readonly<{tag: 'answered'; status: number; body: Uint8Array | undefined}>
		| Readonly<{tag: 'unknown'; reason: UnknownReason}>;

/** State of a key: its call is running, or has a final outcome. */
export type LedgerState = Readonly<{tag: 'running'}> | LedgerOutcome;

/** Ledger entry of one key of one account. */
export type LedgerEntry = Readonly<{
	account: AccountName;
	/** Digest of the idempotency key; see `digestKey`. */
	keyDigest: string;
	requestDigest: string;
	/** The attempt that is running or has run the call. */
	attemptId: AttemptId;
	state: LedgerState;
}>;

/** The fields of a call that the ledger uses. */
export type LedgerCall = Readonly<{
	account: AccountName;
	keyDigest: string;
	requestDigest: string;
	attemptId: AttemptId;
	/** Agent incarnation that the key is bound to; empty when it is not bound. */
	boundIncarnation: string;
}>;

/** Outcome of a running call for the requests that joined it: its ledger outcome, or `not_run` when it is proven not to have run. */
export type JoinedOutcome = LedgerOutcome | Readonly<{tag: 'not_run'}>;

/** What to do with a call. */
export type LedgerDecision
	/** It is the first call of its key: run it, then report its outcome. */
	= | Readonly<{tag: 'run'}>
		/** The key's call is running: wait for its outcome. */
		| Readonly<{tag: 'join'; end: Promise<JoinedOutcome>}>
		/** The key's call has ended: return its outcome. */
		| Readonly<{tag: 'ended'; end: LedgerOutcome}>
		/** The call must not run. */
		| Readonly<{tag: 'refused'; reason: 'key_reused' | 'binding_expired' | 'ledger_full'}>;
