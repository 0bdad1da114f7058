/**
 * Ensures that calls which must not run twice run at most once.
 *
 * The ledger is kept in the memory of one agent incarnation and is authoritative for the keys bound to it: a key is never
 * dropped within the incarnation, and a full ledger refuses new keys instead. Only bodies of answers are dropped, the
 * oldest first.
 *
 * A key bound to another incarnation is refused with `binding_expired`. This means only that the present request did not
 * run here: the key's first call may have run under the former incarnation. An entry may answer its caller with
 * `not_run` only if it knows that no earlier request with this key was sent. Otherwise it answers `unknown`, or the
 * outcome in the ledger that the former incarnation handed over.
 */
import {match} from 'ts-pattern';
import type {AttemptId, Incarnation} from '../core/ids.js';
import {invariant} from '../core/invariant.js';
import {MAX_KEPT_ANSWER_BYTES} from './ledger-constants.js';
import type {
	JoinedOutcome, LedgerCall, LedgerDecision, LedgerOutcome, LedgerEntry, LedgerState,
} from './ledger-types.js';

/** The ledger of one agent incarnation. */
export type Ledger = {
	/** Decides on a call. After `run` the caller must report the outcome with `finish` or `release`. */
	readonly begin: (call: LedgerCall) => LedgerDecision;
	/** Records the final outcome of the running call of a key. */
	readonly finish: (keyDigest: string, end: LedgerOutcome) => void;
	/** Removes the key of a running call that is proven not to have run. */
	readonly release: (keyDigest: string) => void;
	readonly readState: (keyDigest: string) => LedgerState | undefined;
	/** Whether an attempt is running or has run a call. */
	readonly hasAttempt: (attemptId: AttemptId) => boolean;
	readonly size: () => number;
	/** All entries, oldest first. */
	readonly list: () => readonly LedgerEntry[];
};

/** Limits of a ledger. */
export type LedgerLimits = Readonly<{maxEntries: number; maxAnswerBytes: number}>;

type Joiner = (end: JoinedOutcome) => void;

/** Creates the default limits with the given number of entries. */
export function createLedgerLimits(maxEntries: number): LedgerLimits {
	return {maxEntries, maxAnswerBytes: MAX_KEPT_ANSWER_BYTES};
}

/** Creates the empty ledger of `incarnation`. */
export function createLedger(incarnation: Incarnation, limits: LedgerLimits): Ledger {
	const entries = new Map<string, LedgerEntry>();
	const attempts = new Set<AttemptId>();
	const joiners = new Map<string, readonly Joiner[]>();
	// Sizes of the kept answer bodies by key, oldest first.
	const keptBodySizes = new Map<string, number>();
	let keptBytes = 0;

	function decideNewKey(call: LedgerCall): LedgerDecision {
		if (entries.size >= limits.maxEntries) {
			return {tag: 'refused', reason: 'ledger_full'};
		}

		const {account, keyDigest, requestDigest, attemptId} = call;
		entries.set(keyDigest, {
			account, keyDigest, requestDigest, attemptId, state: {tag: 'running'},
		});
		attempts.add(attemptId);
		return {tag: 'run'};
	}

	function decideKnownKey(entry: LedgerEntry, call: LedgerCall): LedgerDecision {
		if (entry.requestDigest !== call.requestDigest) {
			return {tag: 'refused', reason: 'key_reused'};
		}

		return match(entry.state)
			.returnType<LedgerDecision>()
			.with({tag: 'running'}, () => ({tag: 'join', end: join(entry.keyDigest)}))
			.otherwise(end => ({tag: 'ended', end}));
	}

	async function join(keyDigest: string): Promise<JoinedOutcome> {
		return new Promise(resolve => {
			joiners.set(keyDigest, [...joiners.get(keyDigest) ?? [], resolve]);
		});
	}

	function notifyJoiners(keyDigest: string, end: JoinedOutcome): void {
		const due = joiners.get(keyDigest) ?? [];
		joiners.delete(keyDigest);
		for (const wake of due) {
			wake(end);
		}
	}

	function readRunning(keyDigest: string): LedgerEntry {
		const entry = entries.get(keyDigest);
		invariant(entry?.state.tag === 'running', 'only a running call can end');
		return entry;
	}

	function setState(entry: LedgerEntry, state: LedgerState): void {
		entries.set(entry.keyDigest, {...entry, state});
	}

	function keepBody(keyDigest: string, bytes: number): void {
		keptBodySizes.set(keyDigest, bytes);
		keptBytes += bytes;
		for (const [oldest, oldestBytes] of keptBodySizes) {
			if (keptBytes <= limits.maxAnswerBytes) {
				return;
			}

			keptBodySizes.delete(oldest);
			keptBytes -= oldestBytes;
			dropBody(oldest);
		}
	}

	function dropBody(keyDigest: string): void {
		const entry = entries.get(keyDigest);
		invariant(entry?.state.tag === 'answered', 'only an answered call can have a body');
		setState(entry, {...entry.state, body: undefined});
	}

	return {
		begin(call) {
			if (call.boundIncarnation !== '' && call.boundIncarnation !== incarnation) {
				return {tag: 'refused', reason: 'binding_expired'};
			}

			const entry = entries.get(call.keyDigest);
			return entry ? decideKnownKey(entry, call) : decideNewKey(call);
		},
		finish(keyDigest, end) {
			setState(readRunning(keyDigest), end);
			if (end.tag === 'answered' && end.body) {
				keepBody(keyDigest, end.body.byteLength);
			}

			notifyJoiners(keyDigest, end);
		},
		release(keyDigest) {
			const entry = readRunning(keyDigest);
			entries.delete(keyDigest);
			attempts.delete(entry.attemptId);
			notifyJoiners(keyDigest, {tag: 'not_run'});
		},
		readState: keyDigest => entries.get(keyDigest)?.state,
		hasAttempt: attemptId => attempts.has(attemptId),
		size: () => entries.size,
		list: () => [...entries.values()],
	};
}
