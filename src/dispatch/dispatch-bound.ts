/**
 * Calls with a key bound to one agent incarnation.
 *
 * All requests with the key go to that incarnation, whose ledger runs the call once, joins repeats to it, and gives the
 * first answer again. No table is asked. Once the incarnation is gone, only the ledger it handed over can tell.
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

/** The use of a bound key. */
export type BoundKey = Extract<IdempotencyKey, {tag: 'bound'}>;

type Progress = {
	/** Attempts written to a link that ended before their outcome. */
	lost: readonly AttemptId[];
	retries: number;
	configurationWaits: number;
};

/** Runs the request to its outcome at the incarnation that its key is bound to. */
export async function dispatchBound(ctx: DispatchContext, req: CallRequest, key: BoundKey): Promise<SettledOutcome> {
	if (key.binding.service !== req.service) {
		return settleNotRun('never_sent', '', notRun('bad_request', 'Pollenport-Binding: the binding is for another service'));
	}

	const agent = locate(key);
	const progress: Progress = {lost: [], retries: 0, configurationWaits: 0};
	/* eslint-disable no-await-in-loop -- One attempt after the other. */
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

		const settled = await follow(ctx, req, {
			agent, link: connected.value, attemptId, result, progress,
		});
		if (settled) {
			return settled;
		}
	}
	/* eslint-enable no-await-in-loop */
}

/**
 * The bound incarnation, to be reached at the address that the instance list gives.
 *
 * What a caller sends must not choose where this entry connects.
 */
function locate({binding}: BoundKey): AgentIncarnation {
	return {agentId: binding.agentId, incarnation: binding.incarnation, linkAddress: ''};
}

type Unreached = Readonly<{agent: AgentIncarnation; progress: Progress; cause: IncarnationError}>;

async function settleWithoutLink(ctx: DispatchContext, req: CallRequest, key: BoundKey, {agent, progress, cause}: Unreached): Promise<SettledOutcome> {
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

type Finished = Readonly<{
	agent: AgentIncarnation;
	link: AgentLink;
	attemptId: AttemptId;
	result: Exclude<AttemptResult, {tag: 'whole'}>;
	progress: Progress;
}>;

/** The request's outcome, or undefined when the incarnation is to be asked again. */
async function follow(ctx: DispatchContext, req: CallRequest, finished: Finished): Promise<SettledOutcome | undefined> {
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
			return isAllowed ? undefined : settleByProof(ctx, req, {agent, attemptIds: progress.lost}, 'connection_lost');
		}

		case 'late': {
			return settleByProof(ctx, req, {agent, attemptIds: [...progress.lost, attemptId]}, 'deadline');
		}

		case 'refused': {
			return followRefusal(ctx, req, {...finished, result});
		}
	}
}

async function followRefusal(
	ctx: DispatchContext,
	req: CallRequest,
	{agent, link, attemptId, result, progress}: Finished & Readonly<{result: Extract<AttemptResult, {tag: 'refused'}>}>,
): Promise<SettledOutcome | undefined> {
	const reason = toNotRunReason(result.reason);
	if (reason === 'stale_configuration' && progress.configurationWaits < MAX_CONFIGURATION_WAITS) {
		progress.configurationWaits++;
		ctx.metrics.retries.inc({operation: 'bound_attempt', reason});
		await waitForConfiguration(ctx, link.peerVersion(), Math.min(CONFIGURATION_WAIT_MILLIS, remainingMillis(ctx, req)));
		return undefined;
	}

	if (progress.lost.length > 0) {
		return settleByProof(ctx, req, {agent, attemptIds: progress.lost}, 'connection_lost');
	}

	const retryAfterMillis = result.retryAfterMillis > 0 ? result.retryAfterMillis : undefined;
	const refusal = settleNotRun('refused', attemptId, notRun(reason, `refused by ${agent.agentId}`, retryAfterMillis));
	return reason === 'key_reused' ? refusal : settleRefusal(ctx, req, refusal);
}

/** `not_run` when the agent proves it for all attempts, else `unknown`. */
async function settleByProof(
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
