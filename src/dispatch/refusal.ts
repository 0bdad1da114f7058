import type {NotRunReason, UnknownReason} from '../core/outcome.js';

/** Reasons for which an agent refuses an attempt. */
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

/** Parses the reason of an agent's refusal; an unrecognized one counts as `no_backend_server`. */
export function toNotRunReason(reason: string): NotRunReason {
	return AGENT_REASONS.find(known => known === reason) ?? 'no_backend_server';
}

/** Reasons that an agent reports for a started call without an answer. */
const AGENT_UNKNOWN_REASONS = [
	'deadline',
	'backend_server_failed',
	'answer_not_kept',
] as const satisfies readonly UnknownReason[];

/** Parses the reason of a broken attempt; an unrecognized one counts as `backend_server_failed`. */
export function toUnknownReason(reason: string): UnknownReason {
	return AGENT_UNKNOWN_REASONS.find(known => known === reason) ?? 'backend_server_failed';
}

/** What to do after a refusal. */
export type RefusalAction
	/** Send the request to another agent immediately. */
	= | 'reroute'
		/** Send it again once this entry has the agent's configuration version. */
		| 'catch_up'
		/** Send it to another agent, if the retry budget allows. */
		| 'retry'
		/** Give up, since every agent would refuse it. */
		| 'final';

const ACTIONS: Readonly<Partial<Record<NotRunReason, RefusalAction>>> = {
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

export function chooseRefusalAction(reason: NotRunReason): RefusalAction {
	return ACTIONS[reason] ?? 'final';
}
