import type {AnswerProgress} from './answer-sink.js';
import type {AttemptEnd} from './attempt-end.js';
import type {Call} from './call.js';
import type {NotRunCause} from './refusal.js';

/** State of a call across its attempts. */
export type CallProgress = {
	readonly asked: Set<string>;
	readonly answer: AnswerProgress;
	attempts: number;
	/** Whether an attempt may have run. */
	mayHaveRun: boolean;
	lastCause: NotRunCause;
	/** Time from arrival to the first byte of an answer; undefined until then. */
	firstByteMillis: number | undefined;
	/** Longest time between two events. */
	longestPauseMillis: number;
	/** Last error answer of a backend server; delivered if no further attempt is made. */
	failure: Extract<AttemptEnd, {tag: 'answered'}> | undefined;
};

/** State of a call before its first attempt. */
export function createCallProgress(call: Call): CallProgress {
	return {
		asked: new Set(),
		answer: {lastEventId: readLastEventId(call), lastEventAtMillis: undefined},
		attempts: 0,
		mayHaveRun: false,
		lastCause: 'no_backend_server',
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
export function noteUnserved(progress: CallProgress, end: AttemptEnd): void {
	if (end.tag === 'answered') {
		progress.failure = end;
		progress.mayHaveRun = true;
	} else if (end.tag === 'lost') {
		progress.mayHaveRun = true;
	} else {
		progress.lastCause = end.tag === 'not_sent' ? 'not_sent' : 'refused_by_backend_server';
	}
}

