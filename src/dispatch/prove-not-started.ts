/** Determines whether attempts whose deadline has passed or whose link was lost have started. */
import {isTombstoneProof} from '../attempts/tombstone-proof.js';
import {
	createId, type AttemptId, type Incarnation, type InstanceId,
} from '../core/ids.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';

/** One incarnation of an agent and its address. */
export type AgentIncarnation = Readonly<{
	agentId: InstanceId;
	incarnation: Incarnation;
	/** `host:port`, used when the agent is not in the instance list; empty when only the list may be trusted. */
	linkAddress: string;
}>;

/** Attempts that were sent to one incarnation of an agent. */
export type AgentAttempts = Readonly<{agent: AgentIncarnation; attemptIds: readonly AttemptId[]}>;

/** Why an incarnation cannot be queried: another one has replaced it, or no connection could be made. */
export type IncarnationError = 'gone' | 'unreachable';

/** Returns an open link to that incarnation of the agent, or why there is none within `millis`. */
export async function connectToIncarnation(ctx: DispatchContext, agent: AgentIncarnation, millis: number): Promise<Result<AgentLink, IncarnationError>> {
	const connected = await ctx.links.connect(agent, millis);
	if (!connected.ok) {
		return fail('unreachable');
	}

	return connected.value.hello.incarnation === agent.incarnation ? succeed(connected.value) : fail('gone');
}

/** Queries the state of the request's key at the agent; undefined when no reply arrived in time. */
export async function queryKeyState(link: AgentLink, req: CallRequest, millis: number): Promise<string | undefined> {
	const status = await link.query({attemptId: createId(), account: req.account, idempotencyKey: req.key?.key ?? ''}, millis);
	return status?.state;
}

/**
 * Whether the agent proves that it started none of the attempts and never will.
 *
 * If the request has a key, the agent must not know the key either: an earlier request may have run with it.
 */
export async function proveNotStarted(
	ctx: DispatchContext,
	req: CallRequest,
	{agent, attemptIds}: AgentAttempts,
	millis: number,
): Promise<boolean> {
	const untilMillis = ctx.clock.monotonicMillis() + millis;
	const leftMillis = () => Math.max(0, untilMillis - ctx.clock.monotonicMillis());
	const connected = await connectToIncarnation(ctx, agent, millis);
	if (!connected.ok) {
		return false;
	}

	const link = connected.value;

	const replies = await Promise.all(attemptIds.map(async id => link.tombstone(id, leftMillis())));
	if (!replies.every(reply => reply?.recorded === true)) {
		return false;
	}

	if (!req.key) {
		return isTombstoneProof(getMaxAgeMillis(ctx, req));
	}

	const state = await queryKeyState(link, req, leftMillis());
	return state === 'never_seen' || state === 'tombstoned';
}

/** Upper bound of the age of the request's attempts, in milliseconds: the caller's deadline is no later than that of the class. */
function getMaxAgeMillis({clock}: DispatchContext, {deadlineMillis, workClass}: CallRequest): number {
	return clock.monotonicMillis() - (deadlineMillis - workClass.deadlineMillis);
}
