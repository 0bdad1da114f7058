import type {AttemptId} from '../core/ids.js';
import type {Result} from '../core/result.js';

/** A call to the plain service next to this agent. */
export type PlainCall = Readonly<{
	attemptId: AttemptId;
	/** Forwarded to the service; empty when the call has none. */
	idempotencyKey: string;
	body: Uint8Array;
	timeoutMillis: number;
}>;

/** The service's answer. */
export type PlainAnswer = Readonly<{status: number; body: Uint8Array}>;

/** A call that got no answer. */
export type PlainCallError
	/** The call failed before any byte was written, so it did not run. */
	= | Readonly<{tag: 'not_sent'; detail: string}>
		/** The call was sent, but no answer arrived. */
		| Readonly<{tag: 'no_answer'; detail: string}>;

/** Load as the service reports it. */
export type PlainLoad = Readonly<{running: number; queued: number; ageMillis: number}>;

/** The plain service, one that runs no model, next to this agent. */
export type PlainService = {
	readonly call: (call: PlainCall) => Promise<Result<PlainAnswer, PlainCallError>>;
	readonly readLoad: () => Promise<Result<PlainLoad, PlainCallError>>;
};
