/** Determines the state of the attempt that a claim row names. */
import {match, P} from 'ts-pattern';
import type {ClaimRow} from '../claims/claim.js';
import {createId} from '../core/ids.js';
import {notRun} from '../core/outcome.js';
import type {AgentLink} from '../ports/agent-link.js';
import {createBodyCollector} from './answer-collectors.js';
import type {CallRequest} from './call-request.js';
import {
	getClaimAgent, settledStep, type ClaimedCallState, type ClaimedStep,
} from './claimed-call-state.js';
import {
	CLAIM_POLL_MILLIS,
	CONNECT_TIMEOUT_MILLIS,
	NO_BACKEND_SERVER_RETRY_MILLIS,
	QUERY_TIMEOUT_MILLIS,
	TOMBSTONE_GRACE_MILLIS,
	MAX_UNSTARTED_CLAIM_POLLS,
} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {lookUpHandedOverKey} from './handed-over-key.js';
import {toUnknownReason} from './refusal.js';
import {remainingMillis, runAttempt} from './run-attempt.js';
import {connectToIncarnation, proveNotStarted, queryKeyState} from './prove-not-started.js';
import {
	settleAnswered, settleNotRun, settleUnknown, type SettledOutcome,
} from './settled.js';

/** Checks the attempt once: at its agent, or in the ledger that the agent handed over. */
export async function inspectClaim(call: ClaimedCallState, row: ClaimRow): Promise<ClaimedStep> {
	const {ctx, req} = call;
	if (row.claim.requestDigest !== req.requestDigest) {
		return settledStep(settleNotRun('never_sent', '', notRun('key_reused', 'the key was used for another request')));
	}

	if (remainingMillis(ctx, req) === 0) {
		return settledStep(await settleClaimAfterDeadline(ctx, req, row));
	}

	const connected = await connectToIncarnation(ctx, getClaimAgent(row), Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis(ctx, req)));
	if (!connected.ok) {
		return inspectHandedOverLedger(ctx, req, row, connected.error === 'gone');
	}

	const link = connected.value;
	const state = await queryKeyState(link, req, Math.min(QUERY_TIMEOUT_MILLIS, remainingMillis(ctx, req)));
	return match(state)
		.returnType<Promise<ClaimedStep> | ClaimedStep>()
		.with('answered', async () => fetchFirstAnswer(ctx, req, row, link))
		.with('unknown', () => settledStep(settleUnknown(row.claim.attemptId, 'backend_server_failed', 'the call ran and its outcome is unknown')))
		.with(P.union('never_seen', 'tombstoned'), async () => takeOverClaim(call, row, link))
		.with('running', undefined, async () => {
			await ctx.clock.sleep(Math.min(CLAIM_POLL_MILLIS, remainingMillis(ctx, req)));
			return {tag: 'inspect' as const, row};
		})
		.otherwise(() => settledStep(settleUnknown(row.claim.attemptId, 'connection_lost', 'the agent gave no state of the call')));
}

/** Fetches the stored answer with a new attempt. This attempt cannot start the call, since the agent has the key's outcome. */
async function fetchFirstAnswer(ctx: DispatchContext, req: CallRequest, row: ClaimRow, link: AgentLink): Promise<ClaimedStep> {
	const attemptId = createId();
	const collector = createBodyCollector();
	const result = await runAttempt(ctx, link, req, {
		attemptId,
		offset: collector.beginAttempt(),
		boundIncarnation: row.claim.agentIncarnation,
		countUnits: collector.countUnits, sink: collector.addChunk,
		signal: undefined,
	});
	return match(result)
		.returnType<ClaimedStep>()
		.with({tag: 'whole'}, ({status}) => settledStep(settleAnswered(row.claim.attemptId, status, collector.body(), true)))
		.with({tag: P.union('never_sent', 'lost')}, () => ({tag: 'inspect', row}))
		.with({tag: 'refused', reason: 'key_reused'}, () => settledStep(settleNotRun('refused', attemptId, notRun('key_reused', 'the key was used for another request'))))
		.with({tag: 'late'}, () => settledStep(settleUnknown(row.claim.attemptId, 'deadline', 'the call ran; the deadline passed before its answer came')))
		.with({tag: 'broken'}, ({reason}) => settledStep(settleUnknown(row.claim.attemptId, toUnknownReason(reason), 'the call ran; its answer cannot be had')))
		.with({tag: 'refused'}, ({reason}) => settledStep(settleUnknown(row.claim.attemptId, 'repeat_refused', `the call ran; the agent refuses to repeat its answer (${reason})`)))
		.exhaustive();
}

/** Claims the key again once the agent has recorded a tombstone for the attempt in the row. */
async function takeOverClaim(call: ClaimedCallState, row: ClaimRow, link: AgentLink): Promise<ClaimedStep> {
	const {ctx, req} = call;
	call.unstartedPolls++;
	if (call.unstartedPolls <= MAX_UNSTARTED_CLAIM_POLLS) {
		await ctx.clock.sleep(Math.min(CLAIM_POLL_MILLIS, remainingMillis(ctx, req)));
		return {tag: 'inspect', row};
	}

	const proven = await proveNotStarted(ctx, req, {agent: getClaimAgent(row), attemptIds: [row.claim.attemptId]}, Math.min(QUERY_TIMEOUT_MILLIS, remainingMillis(ctx, req)));
	if (!proven) {
		await ctx.clock.sleep(Math.min(CLAIM_POLL_MILLIS, remainingMillis(ctx, req)));
		return {tag: 'inspect', row};
	}

	ctx.log.info('claim taken over', {requestId: req.requestId, attemptId: row.claim.attemptId, agentId: link.hello.instanceId});
	ctx.metrics.retries.inc({operation: 'claimed_attempt', reason: 'tombstone'});
	call.lastRefusal = settleNotRun('tombstone', row.claim.attemptId, notRun('no_backend_server', 'no other backend server is linked', NO_BACKEND_SERVER_RETRY_MILLIS));
	return {tag: 'claim', version: row.version};
}

/** The agent incarnation in the row cannot be queried: only a ledger that it handed over can hold the outcome. */
async function inspectHandedOverLedger(ctx: DispatchContext, req: CallRequest, row: ClaimRow, isReplaced: boolean): Promise<ClaimedStep> {
	const verdict = await lookUpHandedOverKey(ctx, req, getClaimAgent(row));
	return match(verdict)
		.returnType<ClaimedStep>()
		.with({tag: 'settled'}, ({settled}) => settledStep(settled))
		.with({tag: 'never_ran'}, () => ({tag: 'claim', version: row.version}))
		.with({tag: 'no_ledger'}, () => settledStep(settleUnknown(
			row.claim.attemptId,
			isReplaced ? 'incarnation_gone' : 'connection_lost',
			'the agent that was given the call cannot be asked',
		)))
		.exhaustive();
}

/** Returns `not_run` if the agent proves that the attempt in the row and its key never started, otherwise `unknown`. */
export async function settleClaimAfterDeadline(ctx: DispatchContext, req: CallRequest, row: ClaimRow): Promise<SettledOutcome> {
	if (await proveNotStarted(ctx, req, {agent: getClaimAgent(row), attemptIds: [row.claim.attemptId]}, TOMBSTONE_GRACE_MILLIS)) {
		return settleNotRun('tombstone', row.claim.attemptId, notRun('deadline', 'the deadline passed before the call began'));
	}

	return settleUnknown(row.claim.attemptId, 'deadline', 'the deadline passed and the call may have run');
}
