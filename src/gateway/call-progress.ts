import type {AnswerProgress} from './answer-sink.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {Call} from './call.js';
import type {NotRunCause} from './refusal.js';

/** State of a call across its attempts. */
export type CallProgress = {
	readonly triedServers: Set<string>;
	readonly answer: AnswerProgress;
	attempts: number;
	/** Whether an attempt may have run. */
	mayHaveRun: boolean;
	lastNotRunCause: NotRunCause;
	/** Time from arrival to the first byte of an answer; undefined until then. */
	firstByteMillis: number | undefined;
	/** Longest time between two events. */
	longestPauseMillis: number;
	/** Last error answer of a backend server; delivered if no further attempt is made. */
	failure: Extract<AttemptOutcome, {tag: 'answered'}> | undefined;
};

/** State of a call before its first attempt. */
export function createCallProgress(call: Call): CallProgress {
	return {
		triedServers: new Set(),
		answer: {lastEventId: readLastEventId(call), lastEventAtMillis: undefined, canContinue: true},
		attempts: 0,
		mayHaveRun: false,
		lastNotRunCause: 'no_backend_server',
		failure: undefined,
		firstByteMillis: undefined,
		longestPauseMillis: 0,
	};
}

function readLastEventId({head}: Call): number | undefined {
	const id = Number(head.lastEventId);
	return head.lastEventId !== undefined && Number.isSafeInteger(id) ? id : undefined;
}

/** Records an attempt that produced no answer to deliver. */
export function recordFailedAttempt(progress: CallProgress, outcome: AttemptOutcome): void {
	if (outcome.tag === 'answered') {
		progress.failure = outcome;
		progress.mayHaveRun = true;
	} else if (outcome.tag === 'lost' || outcome.tag === 'moved') {
		progress.mayHaveRun = true;
	} else {
		progress.lastNotRunCause = outcome.tag === 'not_sent' ? 'not_sent' : 'refused_by_backend_server';
	}
}

