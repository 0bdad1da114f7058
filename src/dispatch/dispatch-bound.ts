/**
 * Dispatches calls whose key is bound to one agent incarnation.
 *
 * All requests with the key go to that incarnation. Its ledger runs the call once, joins retries to the running
 * call, and returns the stored answer after that. The table is not read. Once the incarnation has ended, only the ledger
 * that it handed over holds the outcome.
 */
import {createId, type AttemptId} from '../core/ids.js';
import type {AgentLink} from '../ports/agent-link.js';
import {notRun} from '../core/outcome.js';
import {createBodyCollector} from './answer-collectors.js';
import type {CallRequest, IdempotencyKey} from './call-request.js';
import {waitForConfiguration} from './wait-for-configuration.js';
import {
	CONFIGURATION_WAIT_MILLIS, CONNECT_TIMEOUT_MILLIS, MAX_CONFIGURATION_WAITS, TOMBSTONE_GRACE_MILLIS,
} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {lookUpHandedOverKey} from './handed-over-key.js';
import {toNotRunReason, toUnknownReason} from './refusal.js';
import {remainingMillis, runAttempt, type AttemptResult} from './run-attempt.js';
import {
	connectToIncarnation, proveNotStarted, type AgentAttempts, type AgentIncarnation, type IncarnationError,
} from './prove-not-started.js';
import {settleRefusal} from './settle-refusal.js';
import {
	settleAnswered, settleNotRun, settleUnknown, type SettledOutcome,
} from './settled.js';
import {takeRetry} from './take-retry.js';

/** A key bound to one agent incarnation. */
export type BoundKey = Extract<IdempotencyKey, {tag: 'bound'}>;

type Progress = {
	/** Attempts whose link was lost before their outcome arrived. */
	lost: readonly AttemptId[];
	retries: number;
	configurationWaits: number;
};

/** Runs the request at the incarnation that its key is bound to, until it has an outcome. */
export async function dispatchBound(ctx: DispatchContext, req: CallRequest, key: BoundKey): Promise<SettledOutcome> {
	if (key.binding.service !== req.service) {
		return settleNotRun('never_sent', '', notRun('bad_request', 'Pollenport-Binding: the binding is for another service'));
	}

	const agent = getBoundAgent(key);
	const progress: Progress = {lost: [], retries: 0, configurationWaits: 0};
	/* eslint-disable no-await-in-loop -- Attempts run in sequence. */
	for (;;) {
		const connected = await connectToIncarnation(ctx, agent, Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis(ctx, req)));
		if (!connected.ok) {
			return settleWithoutLink(ctx, req, key, {agent, progress, cause: connected.error});
		}

		const attemptId = createId();
		const collector = createBodyCollector();
		const result = await runAttempt(ctx, connected.value, req, {
			attemptId, offset: collector.beginAttempt(), boundIncarnation: key.binding.incarnation, countUnits: collector.countUnits, sink: collector.addChunk, signal: undefined,
		});
		if (result.tag === 'whole') {
			return settleAnswered(attemptId, result.status, collector.body(), result.repeated);
		}

		const settled = await handleResult(ctx, req, {
			agent, link: connected.value, attemptId, result, progress,
		});
		if (settled) {
			return settled;
		}
	}
	/* eslint-enable no-await-in-loop */
}

/**
 * The bound incarnation, without the address in the binding: only the address in the instance list is used.
 *
 * A caller must not be able to choose where this entry connects.
 */
function getBoundAgent({binding}: BoundKey): AgentIncarnation {
	return {agentId: binding.agentId, incarnation: binding.incarnation, linkAddress: ''};
}

type UnreachableAgent = Readonly<{agent: AgentIncarnation; progress: Progress; cause: IncarnationError}>;

async function settleWithoutLink(ctx: DispatchContext, req: CallRequest, key: BoundKey, {agent, progress, cause}: UnreachableAgent): Promise<SettledOutcome> {
	const verdict = await lookUpHandedOverKey(ctx, req, agent);
	if (verdict.tag === 'settled') {
		return verdict.settled;
	}

	const lostId = progress.lost.at(-1) ?? '';
	if (verdict.tag === 'never_ran') {
		return settleNotRun('refused', lostId, notRun('binding_expired', 'the bound agent stopped without running the key; fetch a new binding'));
	}

	if (key.isFirstUse && progress.lost.length === 0) {
		return settleNotRun('never_sent', '', notRun('binding_expired', 'the bound agent cannot be reached; fetch a new binding'));
	}

	return settleUnknown(lostId, cause === 'gone' ? 'incarnation_gone' : 'connection_lost', 'the bound agent cannot be asked and left no ledger');
}

type FinishedAttempt = Readonly<{
	agent: AgentIncarnation;
	link: AgentLink;
	attemptId: AttemptId;
	result: Exclude<AttemptResult, {tag: 'whole'}>;
	progress: Progress;
}>;

/** Returns the request's outcome, or undefined when another attempt must follow. */
async function handleResult(ctx: DispatchContext, req: CallRequest, finished: FinishedAttempt): Promise<SettledOutcome | undefined> {
	const {agent, attemptId, result, progress} = finished;
	switch (result.tag) {
		case 'never_sent': {
			ctx.metrics.retries.inc({operation: 'bound_attempt', reason: 'never_sent'});
			return undefined;
		}

		case 'broken': {
			return settleUnknown(attemptId, toUnknownReason(result.reason), result.reason);
		}

		case 'lost': {
			progress.lost = [...progress.lost, attemptId];
			const isAllowed = await takeRetry(ctx, req, {operation: 'bound_attempt', reason: 'connection_lost', retries: progress.retries});
			progress.retries++;
			return isAllowed ? undefined : settleByTombstones(ctx, req, {agent, attemptIds: progress.lost}, 'connection_lost');
		}

		case 'late': {
			return settleByTombstones(ctx, req, {agent, attemptIds: [...progress.lost, attemptId]}, 'deadline');
		}

		case 'refused': {
			return handleRefusal(ctx, req, {...finished, result});
		}
	}
}

async function handleRefusal(
	ctx: DispatchContext,
	req: CallRequest,
	{agent, link, attemptId, result, progress}: FinishedAttempt & Readonly<{result: Extract<AttemptResult, {tag: 'refused'}>}>,
): Promise<SettledOutcome | undefined> {
	const reason = toNotRunReason(result.reason);
	if (reason === 'stale_configuration' && progress.configurationWaits < MAX_CONFIGURATION_WAITS) {
		progress.configurationWaits++;
		ctx.metrics.retries.inc({operation: 'bound_attempt', reason});
		await waitForConfiguration(ctx, link.peerVersion(), Math.min(CONFIGURATION_WAIT_MILLIS, remainingMillis(ctx, req)));
		return undefined;
	}

	if (progress.lost.length > 0) {
		return settleByTombstones(ctx, req, {agent, attemptIds: progress.lost}, 'connection_lost');
	}

	const retryAfterMillis = result.retryAfterMillis > 0 ? result.retryAfterMillis : undefined;
	const refusal = settleNotRun('refused', attemptId, notRun(reason, `refused by ${agent.agentId}`, retryAfterMillis));
	return reason === 'key_reused' ? refusal : settleRefusal(ctx, req, refusal);
}

/** Returns `not_run` if the agent proves that none of the attempts started, otherwise `unknown`. */
async function settleByTombstones(
	ctx: DispatchContext,
	req: CallRequest,
	{agent, attemptIds}: AgentAttempts,
	reason: 'connection_lost' | 'deadline',
): Promise<SettledOutcome> {
	const lastId = attemptIds.at(-1) ?? '';
	if (await proveNotStarted(ctx, req, {agent, attemptIds}, TOMBSTONE_GRACE_MILLIS)) {
		return settleNotRun('tombstone', lastId, notRun(reason === 'deadline' ? 'deadline' : 'tombstone', 'the agent has not started the call and never will'));
	}

	return settleUnknown(lastId, reason, 'the call may have run');
}
