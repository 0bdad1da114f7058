/** What callers are told when their request was not run or its outcome is unknown. */
import {match} from 'ts-pattern';
import type {RequestId} from '../core/ids.js';
import type {NotRunReason, Outcome, UnknownReason} from '../core/outcome.js';
import {UNKNOWN_RETRY_AFTER_MILLIS} from './caller-constants.js';

/** An outcome without an answer. */
export type UnansweredOutcome = Exclude<Outcome, {tag: 'answered'}>;

/** HTTP statuses of refusals that differ from 503. */
const NOT_RUN_STATUS: Readonly<Partial<Record<NotRunReason, number>>> = {
	bad_request: 400,
	unauthenticated: 401,
	unknown_service: 404,
	key_reused: 409,
	body_too_large: 413,
	overload: 429,
	fair_share: 429,
};

/** Unknown outcomes that a repeat with the same key may settle. */
const SETTLING_REASONS: ReadonlySet<UnknownReason> = new Set(['connection_lost', 'deadline', 'table_unavailable', 'repeat_refused']);

/** Whole seconds, rounded up, as `Retry-After` has them. */
function toRetryAfter(millis: number | undefined): Readonly<Record<string, string>> {
	return millis === undefined ? {} : {'Retry-After': String(Math.ceil(millis / 1000))};
}

/** The response to a request without an answer: `{outcome, reason, detail, requestId, retryAfterMillis}`. */
export function createUnansweredResponse(outcome: UnansweredOutcome, requestId: RequestId): Response {
	const retryAfterMillis = match(outcome)
		.with({tag: 'not_run'}, refusal => refusal.retryAfterMillis)
		.with({tag: 'unknown'}, ({reason}) => SETTLING_REASONS.has(reason) ? UNKNOWN_RETRY_AFTER_MILLIS : undefined)
		.exhaustive();
	const status = outcome.tag === 'not_run' ? NOT_RUN_STATUS[outcome.reason] ?? 503 : 504;
	const {reason, detail} = outcome;
	return Response.json({
		outcome: outcome.tag, reason, detail, requestId, retryAfterMillis,
	}, {status, headers: {'Pollenport-Outcome': outcome.tag, ...toRetryAfter(retryAfterMillis)}});
}
