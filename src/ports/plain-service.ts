import type {AttemptId} from '../core/ids.js';
import type {Result} from '../core/result.js';

/** A call to the plain service beside this agent. */
export type PlainCall = Readonly<{
	attemptId: AttemptId;
	/** Passed on to the service; empty when the call has none. */
	idempotencyKey: string;
	body: Uint8Array;
	timeoutMillis: number;
}>;

/** The service's answer. */
export type PlainAnswer = Readonly<{status: number; body: Uint8Array}>;

/** A call without an answer. */
export type PlainCallError
	/** Refused before a byte was written: the call did not run. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
	/** Sent, and no answer came. */
		| Readonly<{tag: 'no_answer'; detail: string}>;

/** Load as the service reports it. */
export type PlainLoad = Readonly<{running: number; queued: number; ageMillis: number}>;

/** The plain service beside this agent. */
export type PlainService = {
	readonly call: (call: PlainCall) => Promise<Result<PlainAnswer, PlainCallError>>;
	readonly readLoad: () => Promise<Result<PlainLoad, PlainCallError>>;
};
