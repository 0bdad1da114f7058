/** Why a process answers a call itself, and how. */
import {match} from 'ts-pattern';
import {DEFAULT_RETRY_AFTER_MILLIS} from './gateway-constants.js';

/** An answer of this process's own. Each reason has its own counter. */
export type Refusal
	/** The call did not run and never will. */
	= | Readonly<{tag: 'not_run'; reason: NotRunCause; retryAfterMillis: number}>
	/** The call may have run and has no complete answer. */
		| Readonly<{tag: 'unknown'; reason: 'lost' | 'late'}>
		| Readonly<{tag: 'bad_call'; reason: 'no_attempt_id' | 'body_too_large' | 'unknown_credential' | 'unknown_route'}>;

/** Why a call was not run. */
export type NotRunCause
	= | 'no_configuration'
		| 'stale_configuration'
		| 'no_backend_server'
		| 'overload'
		| 'deadline'
		| 'refused_by_backend_server'
		| 'not_sent'
		| 'stopping';

/** A refusal of a call that did not run; the caller may come back after `retryAfterMillis`. */
export function createNotRunRefusal(reason: NotRunCause, retryAfterMillis = DEFAULT_RETRY_AFTER_MILLIS): Refusal {
	return {tag: 'not_run', reason, retryAfterMillis};
}

/** Status of an answer of this process's own. */
export function getRefusalStatus(refusal: Refusal): number {
	return match(refusal)
		.with({tag: 'not_run'}, () => 503)
		.with({tag: 'unknown', reason: 'lost'}, () => 502)
		.with({tag: 'unknown', reason: 'late'}, () => 504)
		.with({tag: 'bad_call', reason: 'no_attempt_id'}, () => 400)
		.with({tag: 'bad_call', reason: 'body_too_large'}, () => 413)
		.with({tag: 'bad_call', reason: 'unknown_credential'}, () => 401)
		.with({tag: 'bad_call', reason: 'unknown_route'}, () => 404)
		.exhaustive();
}

/** Headers of an answer of this process's own. */
export function getRefusalHeaders(refusal: Refusal): string[] {
	const headers = ['Content-Type', 'application/json'];
	return refusal.tag === 'not_run'
		? [...headers, 'Retry-After', (refusal.retryAfterMillis / 1000).toFixed(3)]
		: headers;
}
