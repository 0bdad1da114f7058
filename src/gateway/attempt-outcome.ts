import type {FramedHead} from './answer-framing.js';

/** What became of one attempt at one backend server. */
export type AttemptOutcome
	/** Not a byte was written: it did not run. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
	/** The backend server states that it did not run the request. */
		| Readonly<{tag: 'not_run'; head: FramedHead}>
	/** A complete answer of any status, not passed on yet. */
		| Readonly<{tag: 'answered'; head: FramedHead; body: Uint8Array}>
	/** A complete answer that was passed on as it came. */
		| Readonly<{tag: 'passed'}>
	/** Written, and no complete answer: it may have run. */
		| Readonly<{tag: 'lost'; detail: string}>
	/** The time is over; it may have run. */
		| Readonly<{tag: 'late'}>
		| Readonly<{tag: 'caller_left'}>;
