import type {NotRunReason, UnknownReason} from '../core/outcome.js';

/** Reasons that an agent gives for a refusal. */
const AGENT_REASONS = [
	'bad_request',
	'body_too_large',
	'no_configuration',
	'unknown_service',
	'overload',
	'fair_share',
	'deadline',
	'no_backend_server',
	'leaving',
	'stale_configuration',
	'connection_refused',
	'tombstone',
	'binding_expired',
	'key_reused',
	'ledger_full',
	'audit_full',
] as const satisfies readonly NotRunReason[];

/** The reason of an agent's refusal; a word not known here counts as no backend server. */
export function toNotRunReason(reason: string): NotRunReason {
	return AGENT_REASONS.find(known => known === reason) ?? 'no_backend_server';
}

/** Reasons that an agent gives for a started call without an answer. */
const AGENT_UNKNOWN_REASONS = [
	'deadline',
	'backend_server_failed',
	'answer_not_kept',
] as const satisfies readonly UnknownReason[];

/** The reason of a broken attempt; a word not known here counts as a failed backend server. */
export function toUnknownReason(reason: string): UnknownReason {
	return AGENT_UNKNOWN_REASONS.find(known => known === reason) ?? 'backend_server_failed';
}

/** What follows a refusal. */
export type RefusalAction
	/** Another agent may take the request at once. */
	= | 'reroute'
	/** The same agent takes it once this entry has caught up. */
		| 'catch_up'
	/** Another agent may take it, if the retry budget allows. */
		| 'retry'
	/** No agent would take it. */
		| 'final';

const STEPS: Readonly<Partial<Record<NotRunReason, RefusalAction>>> = {
	leaving: 'reroute',
	binding_expired: 'reroute',
	no_configuration: 'reroute',
	stale_configuration: 'catch_up',
	overload: 'retry',
	no_backend_server: 'retry',
	connection_refused: 'retry',
	ledger_full: 'retry',
	audit_full: 'retry',
};

/** What follows a refusal for `reason`. */
export function chooseRefusalAction(reason: NotRunReason): RefusalAction {
	return STEPS[reason] ?? 'final';
}
