/** Why a request was not run. Each reason has its own counter. */
export type NotRunReason
	= | 'bad_request'
		| 'unauthenticated'
		| 'body_too_large'
		| 'no_configuration'
		| 'unknown_service'
		| 'overload'
		| 'fair_share'
		| 'deadline'
		| 'no_backend_server'
		| 'leaving'
		| 'stale_configuration'
		| 'connection_refused'
		| 'tombstone'
		| 'binding_expired'
		| 'key_reused'
		| 'ledger_full'
		| 'audit_full'
		| 'table_unavailable';

/** Why it is unknown whether a request ran. Each reason has its own counter. */
export type UnknownReason
	= | 'connection_lost'
		| 'deadline'
		| 'backend_server_failed'
		| 'incarnation_gone'
		| 'table_unavailable'
		| 'answer_not_kept'
		| 'repeat_refused';

/** Final outcome reported to a caller. `not_run` is only reported when it is proven that the request did not run. */
export type Outcome
	= | Readonly<{tag: 'answered'; status: number; body: Uint8Array; repeated: boolean}>
		| Readonly<{tag: 'not_run'; reason: NotRunReason; detail: string; retryAfterMillis: number | undefined}>
		| Readonly<{tag: 'unknown'; reason: UnknownReason; detail: string}>;

export function notRun(reason: NotRunReason, detail: string, retryAfterMillis?: number): Extract<Outcome, {tag: 'not_run'}> {
	return {
		tag: 'not_run', reason, detail, retryAfterMillis,
	};
}

export function unknownOutcome(reason: UnknownReason, detail: string): Extract<Outcome, {tag: 'unknown'}> {
	return {tag: 'unknown', reason, detail};
}
