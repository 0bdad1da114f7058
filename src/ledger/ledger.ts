/**
 * Runs each call that must not be repeated at most once.
 *
 * The ledger lives in the memory of one agent incarnation and is the whole truth about the keys bound to it: a key is
 * never dropped within the incarnation, and a full ledger refuses new keys instead. Only bodies of answers are
 * dropped, the oldest first.
 *
 * A key bound to another incarnation is refused with `binding_expired`. That says only that this request did not run
 * here: the key's first call may have run under the incarnation that is gone. An entry may tell its caller `not_run`
 * only if it knows that no earlier request with this key was sent; otherwise it answers `unknown`, or what the ledger
 * handed over by that incarnation says.
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
	/** Decides on a call. After `run` the caller must report the end by `finish` or `release`. */
	readonly begin: (call: LedgerCall) => LedgerDecision;
	/** Records the end of the running call of a key, for good. */
	readonly finish: (keyDigest: string, end: LedgerOutcome) => void;
	/** Forgets the running call of a key, which is proven not to have run. */
	readonly release: (keyDigest: string) => void;
	readonly readState: (keyDigest: string) => LedgerState | undefined;
	/** Whether an attempt runs or ran a call. */
	readonly hasAttempt: (attemptId: AttemptId) => boolean;
	readonly size: () => number;
	/** All entries, oldest first. */
	readonly list: () => readonly LedgerEntry[];
};

/** Limits of a ledger. */
export type LedgerLimits = Readonly<{maxEntries: number; maxAnswerBytes: number}>;

type Joiner = (end: JoinedOutcome) => void;

/** Limits that differ from the standard ones only in the number of entries. */
export function createLedgerLimits(maxEntries: number): LedgerLimits {
	return {maxEntries, maxAnswerBytes: MAX_KEPT_ANSWER_BYTES};
}

/** Creates the empty ledger of `incarnation`. */
export function createLedger(incarnation: Incarnation, limits: LedgerLimits): Ledger {
	const entries = new Map<string, LedgerEntry>();
	const attempts = new Set<AttemptId>();
	const joiners = new Map<string, readonly Joiner[]>();
	// Keys whose answer body is kept, oldest first.
	const kept = new Map<string, number>();
	let keptBytes = 0;

	function decideFirst(call: LedgerCall): LedgerDecision {
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

	function decideRepeat(entry: LedgerEntry, call: LedgerCall): LedgerDecision {
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

	function wakeJoiners(keyDigest: string, end: JoinedOutcome): void {
		const due = joiners.get(keyDigest) ?? [];
		joiners.delete(keyDigest);
		for (const wake of due) {
			wake(end);
		}
	}

	function readRunning(keyDigest: string): LedgerEntry {
		const entry = entries.get(keyDigest);
		invariant(entry?.state.tag === 'running', 'only a running call ends');
		return entry;
	}

	function setState(entry: LedgerEntry, state: LedgerState): void {
		entries.set(entry.keyDigest, {...entry, state});
	}

	function keepBody(keyDigest: string, bytes: number): void {
		kept.set(keyDigest, bytes);
		keptBytes += bytes;
		for (const [oldest, oldestBytes] of kept) {
			if (keptBytes <= limits.maxAnswerBytes) {
				return;
			}

			kept.delete(oldest);
			keptBytes -= oldestBytes;
			dropBody(oldest);
		}
	}

	function dropBody(keyDigest: string): void {
		const entry = entries.get(keyDigest);
		invariant(entry?.state.tag === 'answered', 'only an answered call has a body');
		setState(entry, {...entry.state, body: undefined});
	}

	return {
		begin(call) {
			if (call.boundIncarnation !== '' && call.boundIncarnation !== incarnation) {
				return {tag: 'refused', reason: 'binding_expired'};
			}

			const entry = entries.get(call.keyDigest);
			return entry ? decideRepeat(entry, call) : decideFirst(call);
		},
		finish(keyDigest, end) {
			setState(readRunning(keyDigest), end);
			if (end.tag === 'answered' && end.body) {
				keepBody(keyDigest, end.body.byteLength);
			}

			wakeJoiners(keyDigest, end);
		},
		release(keyDigest) {
			const entry = readRunning(keyDigest);
			entries.delete(keyDigest);
			attempts.delete(entry.attemptId);
			wakeJoiners(keyDigest, {tag: 'not_run'});
		},
		readState: keyDigest => entries.get(keyDigest)?.state,
		hasAttempt: attemptId => attempts.has(attemptId),
		size: () => entries.size,
		list: () => [...entries.values()],
	};
}
