/** Responses to requests that were not run or whose outcome is unknown. */
import {match} from 'ts-pattern';
import type {RequestId} from '../core/ids.js';
import type {NotRunReason, Outcome, UnknownReason} from '../core/outcome.js';
import {UNKNOWN_RETRY_AFTER_MILLIS} from './caller-constants.js';

/** An outcome without an answer. */
export type UnansweredOutcome = Exclude<Outcome, {tag: 'answered'}>;

/** HTTP statuses of refusals; all others get 503. */
const NOT_RUN_STATUS: Readonly<Partial<Record<NotRunReason, number>>> = {
	bad_request: 400,
	unauthenticated: 401,
	unknown_service: 404,
	key_reused: 409,
	body_too_large: 413,
	overload: 429,
	fair_share: 429,
};

/** Reasons of unknown outcomes that a retry with the same key may resolve. */
const RETRYABLE_UNKNOWN_REASONS: ReadonlySet<UnknownReason> = new Set(['connection_lost', 'deadline', 'table_unavailable', 'repeat_refused']);

/** The `Retry-After` header, in whole seconds rounded up; no header without a time. */
function createRetryAfterHeader(millis: number | undefined): Readonly<Record<string, string>> {
	return millis === undefined ? {} : {'Retry-After': String(Math.ceil(millis / 1000))};
}

/** Creates the JSON response to a request without an answer: `{outcome, reason, detail, requestId, retryAfterMillis}`. */
export function createUnansweredResponse(outcome: UnansweredOutcome, requestId: RequestId): Response {
	const retryAfterMillis = match(outcome)
		.with({tag: 'not_run'}, refusal => refusal.retryAfterMillis)
		.with({tag: 'unknown'}, ({reason}) => RETRYABLE_UNKNOWN_REASONS.has(reason) ? UNKNOWN_RETRY_AFTER_MILLIS : undefined)
		.exhaustive();
	const status = outcome.tag === 'not_run' ? NOT_RUN_STATUS[outcome.reason] ?? 503 : 504;
	const {reason, detail} = outcome;
	return Response.json({
		outcome: outcome.tag, reason, detail, requestId, retryAfterMillis,
	}, {status, headers: {'Pollenport-Outcome': outcome.tag, ...createRetryAfterHeader(retryAfterMillis)}});
}
