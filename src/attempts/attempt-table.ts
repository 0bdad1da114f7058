/** Attempts that this agent has seen, so that none starts twice or after its tombstone. */
import {match, P} from 'ts-pattern';
import type {Clock} from '../core/clock.js';
import type {AttemptId} from '../core/ids.js';
import {ATTEMPT_RETENTION_MILLIS, MAX_REMEMBERED_ATTEMPTS} from './attempt-constants.js';

/** How an attempt ended. `tombstoned` means that it never started and never will. */
export type AttemptEnd = 'answered' | 'unknown' | 'tombstoned';

/** What the agent knows of an attempt. */
export type AttemptState = 'never_seen' | 'running' | AttemptEnd;

/** Whether an attempt may start: `full` leaves no trace, `seen` means that it has started before. */
export type StartResult = 'claimed' | 'tombstoned' | 'seen' | 'full';

/** The attempts of one agent. Memory is bounded: ended attempts expire, and running ones count against the limit. */
export type AttemptTable = {
	/** Makes an attempt that was never seen a running one. */
	readonly tryStart: (attemptId: AttemptId) => StartResult;
	/** Records the end of a running attempt. */
	readonly finish: (attemptId: AttemptId, end: AttemptEnd) => void;
	/** Records that the attempt must not start; false when it has started, or when there is no room to remember it. */
	readonly recordTombstone: (attemptId: AttemptId) => boolean;
	readonly readState: (attemptId: AttemptId) => AttemptState;
};

type Ended = Readonly<{end: AttemptEnd; expiresAtMillis: number}>;

/** Creates an empty table that remembers at most `maxAttempts`. */
export function createAttemptTable(clock: Clock, maxAttempts: number = MAX_REMEMBERED_ATTEMPTS): AttemptTable {
	const running = new Set<AttemptId>();
	// In order of expiry, since all ended attempts are remembered for the same time.
	const ended = new Map<AttemptId, Ended>();

	function dropExpired(): void {
		const now = clock.monotonicMillis();
		for (const [attemptId, {expiresAtMillis}] of ended) {
			if (expiresAtMillis > now) {
				return;
			}

			ended.delete(attemptId);
		}
	}

	function readState(attemptId: AttemptId): AttemptState {
		dropExpired();
		return running.has(attemptId) ? 'running' : (ended.get(attemptId)?.end ?? 'never_seen');
	}

	function isFull(): boolean {
		return running.size + ended.size >= maxAttempts;
	}

	function remember(attemptId: AttemptId, end: AttemptEnd): void {
		ended.delete(attemptId);
		ended.set(attemptId, {end, expiresAtMillis: clock.monotonicMillis() + ATTEMPT_RETENTION_MILLIS});
	}

	function claimUnseen(attemptId: AttemptId): StartResult {
		if (isFull()) {
			return 'full';
		}

		running.add(attemptId);
		return 'claimed';
	}

	function tombstoneUnseen(attemptId: AttemptId): boolean {
		if (isFull()) {
			return false;
		}

		remember(attemptId, 'tombstoned');
		return true;
	}

	return {
		tryStart: attemptId => match(readState(attemptId))
			.returnType<StartResult>()
			.with('never_seen', () => claimUnseen(attemptId))
			.with('tombstoned', () => 'tombstoned')
			.with(P.union('running', 'answered', 'unknown'), () => 'seen')
			.exhaustive(),
		finish(attemptId, end) {
			running.delete(attemptId);
			remember(attemptId, end);
		},
		recordTombstone: attemptId => match(readState(attemptId))
			.with('never_seen', () => tombstoneUnseen(attemptId))
			.with('tombstoned', () => {
				remember(attemptId, 'tombstoned');
				return true;
			})
			.with(P.union('running', 'answered', 'unknown'), () => false)
			.exhaustive(),
		readState,
	};
}
