/** What can still be said about attempts whose deadline passed or whose link ended. */
import {isTombstoneProof} from '../attempts/tombstone-proof.js';
import {
	createId, type AttemptId, type Incarnation, type InstanceId,
} from '../core/ids.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';

/** One run of an agent and where it is reached. */
export type AgentIncarnation = Readonly<{
	agentId: InstanceId;
	incarnation: Incarnation;
	/** `host:port`, used when the instance list does not name the agent; empty when only the list is to be trusted. */
	linkAddress: string;
}>;

/** Attempts that were sent to one run of an agent. */
export type AgentAttempts = Readonly<{agent: AgentIncarnation; attemptIds: readonly AttemptId[]}>;

/** Why an incarnation cannot be asked: another one is in its place, or no connection could be made. */
export type IncarnationError = 'gone' | 'unreachable';

/** An open link to that run of the agent, or why there is none within `millis`. */
export async function connectToIncarnation(ctx: DispatchContext, agent: AgentIncarnation, millis: number): Promise<Result<AgentLink, IncarnationError>> {
	const connected = await ctx.links.connect(agent, millis);
	if (!connected.ok) {
		return fail('unreachable');
	}

	return connected.value.hello.incarnation === agent.incarnation ? succeed(connected.value) : fail('gone');
}

/** State of the request's key at the agent; undefined when no reply came in time. */
export async function queryKeyState(link: AgentLink, req: CallRequest, millis: number): Promise<string | undefined> {
	const status = await link.query({attemptId: createId(), account: req.account, idempotencyKey: req.key?.key ?? ''}, millis);
	return status?.state;
}

/**
 * Whether the agent proves that it started none of the attempts and never will.
 *
 * With a key the agent must also know nothing of the key: the key may have run for an earlier request.
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
		return isTombstoneProof(boundAgeMillis(ctx, req));
	}

	const state = await queryKeyState(link, req, leftMillis());
	return state === 'never_seen' || state === 'tombstoned';
}

/** Largest age that an attempt of the request can have, in milliseconds: the caller's deadline is at most that of the class. */
function boundAgeMillis({clock}: DispatchContext, {deadlineMillis, workClass}: CallRequest): number {
	return clock.monotonicMillis() - (deadlineMillis - workClass.deadlineMillis);
}
