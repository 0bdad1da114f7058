import type {FramedHead} from './answer-framing.js';

/** Outcome of one attempt at one backend server. */
export type AttemptOutcome
	/** Nothing was written to the connection, so the request did not run. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
	/** The backend server states that it did not run the request. */
		| Readonly<{tag: 'not_run'; head: FramedHead}>
	/** Complete answer of any status, not yet forwarded to the caller. */
		| Readonly<{tag: 'answered'; head: FramedHead; body: Uint8Array}>
	/** Complete answer that was forwarded as it arrived. */
		| Readonly<{tag: 'passed'}>
	/** The request was written but no complete answer arrived; it may have run. `isSilent`: it was given up, as nothing came for too long. */
		| Readonly<{tag: 'lost'; detail: string; isSilent?: true}>
	/** The attempt was ended here, to be continued at another backend server; it has run in part. */
		| Readonly<{tag: 'moved'}>
	/** The attempt timed out, or the process is about to end (`stopping`); it may have run. */
		| Readonly<{tag: 'late'; cause?: 'stopping'}>
		| Readonly<{tag: 'caller_left'}>;
