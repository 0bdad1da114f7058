import type {
	AccountName, Incarnation, InstanceId, RequestId,
} from '../core/ids.js';
import type {PromptPrefix} from '../decisions/routing/candidate.js';
import type {WorkClass} from '../targets/targets.js';

/** Restricts a key to one agent incarnation; its call may run nowhere else. */
export type KeyBinding = Readonly<{
	service: string;
	agentId: InstanceId;
	incarnation: Incarnation;
	/** `host:port` of the agent's link listener. */
	linkAddress: string;
}>;

/** Idempotency key of a call that is not idempotent, and how the key keeps the call from running twice. */
export type IdempotencyKey
	/** The key is claimed in the table before the call is sent. */
	= | Readonly<{tag: 'own'; key: string; isFirstUse: boolean}>
		/** The ledger of the agent incarnation in the binding keeps the key; the table is not read. */
		| Readonly<{tag: 'bound'; key: string; isFirstUse: boolean; binding: KeyBinding}>;

/** A caller's request to be dispatched to a backend server. */
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
