import type {
	AccountName, Incarnation, InstanceId, RequestId,
} from '../core/ids.js';
import type {PromptPrefix} from '../decisions/routing/candidate.js';
import type {WorkClass} from '../targets/targets.js';

/** Where a bound key may run: in one agent incarnation and nowhere else. */
export type KeyBinding = Readonly<{
	service: string;
	agentId: InstanceId;
	incarnation: Incarnation;
	/** `host:port` of the agent's link listener. */
	linkAddress: string;
}>;

/** How a call that must not be repeated is kept from running twice. */
export type IdempotencyKey
	/** The key is claimed in the table before the call is sent. */
	= | Readonly<{tag: 'own'; key: string; isFirstUse: boolean}>
	/** The agent incarnation in the binding remembers the key; the table is not asked. */
		| Readonly<{tag: 'bound'; key: string; isFirstUse: boolean; binding: KeyBinding}>;

/** A caller's request on its way to a backend server. */
export type CallRequest = Readonly<{
	requestId: RequestId;
	account: AccountName;
	service: string;
	workClass: WorkClass;
	/** Monotonic time at which the caller stops waiting, in milliseconds. */
	deadlineMillis: number;
	body: Uint8Array;
	/** SHA-256 of the service and the body, hex. */
	requestDigest: string;
	key: IdempotencyKey | undefined;
	/** Prefixes of a model's prompt, longest first; empty for a plain service. */
	prefixes: readonly PromptPrefix[];
	/** Length of a model's prompt in the unit of `prefixes`; 0 for a plain service. */
	promptTokens: number;
}>;
