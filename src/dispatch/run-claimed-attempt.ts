/** Runs the attempt that a claim row names. */
import {match} from 'ts-pattern';
import {readClaim, type ClaimRow} from '../claims/claim.js';
import {notRun} from '../core/outcome.js';
import type {AgentLink} from '../ports/agent-link.js';
import {createBodyCollector} from './answer-collectors.js';
import {settledStep, type ClaimedCallState, type ClaimedStep} from './claimed-call-state.js';
import {waitForConfiguration} from './wait-for-configuration.js';
import {CONFIGURATION_WAIT_MILLIS, MAX_CONFIGURATION_WAITS} from './dispatch-constants.js';
import {settleClaimAfterDeadline} from './inspect-claim.js';
import {chooseRefusalAction, toNotRunReason, toUnknownReason} from './refusal.js';
import {remainingMillis, runAttempt, type AttemptResult} from './run-attempt.js';
import {settleAnswered, settleNotRun, settleUnknown} from './settled.js';
import {takeRetry} from './take-retry.js';

/** Sends the attempt in the row, which is this request's own, and follows it. */
export async function runClaimedAttempt(run: ClaimedCallState, row: ClaimRow, link: AgentLink): Promise<ClaimedStep> {
	const {ctx, req} = run;
	const {claim} = row;
	const collector = createBodyCollector();
	const result = await runAttempt(ctx, link, req, {
		attemptId: claim.attemptId,
		offset: collector.beginAttempt(),
		boundIncarnation: claim.agentIncarnation,
		countUnits: collector.countUnits, sink: collector.addChunk,
		signal: undefined,
	});
	return match(result)
		.returnType<Promise<ClaimedStep> | ClaimedStep>()
		.with({tag: 'whole'}, ({status, repeated}) => settledStep(settleAnswered(claim.attemptId, status, collector.body(), repeated)))
		.with({tag: 'broken'}, ({reason}) => settledStep(settleUnknown(claim.attemptId, toUnknownReason(reason), reason)))
		.with({tag: 'never_sent'}, () => {
			ctx.metrics.retries.inc({operation: 'claimed_attempt', reason: 'never_sent'});
			return {tag: 'claim' as const, version: row.version};
		})
		.with({tag: 'lost'}, () => {
			ctx.metrics.retries.inc({operation: 'claimed_attempt', reason: 'connection_lost'});
			return {tag: 'inspect' as const, row};
		})
		.with({tag: 'late'}, async () => settledStep(await settleClaimAfterDeadline(ctx, req, row)))
		.with({tag: 'refused'}, async refusal => followRefusal(run, {row, link, refusal}))
		.exhaustive();
}

type RefusedRun = Readonly<{
	row: ClaimRow;
	link: AgentLink;
	refusal: Extract<AttemptResult, {tag: 'refused'}>;
}>;

async function followRefusal(run: ClaimedCallState, {row, link, refusal}: RefusedRun): Promise<ClaimedStep> {
	const {ctx, req} = run;
	const reason = toNotRunReason(refusal.reason);
	const {attemptId} = row.claim;
	const retryAfterMillis = refusal.retryAfterMillis > 0 ? refusal.retryAfterMillis : undefined;
	run.lastRefusal = settleNotRun('refused', attemptId, notRun(reason, `refused by ${link.hello.instanceId}`, retryAfterMillis));
	if (reason === 'tombstone') {
		return reread(run, row);
	}

	if (remainingMillis(ctx, req) === 0) {
		return settledStep(run.lastRefusal);
	}

	const followUp = chooseRefusalAction(reason);
	if (followUp === 'catch_up' && run.configurationWaits < MAX_CONFIGURATION_WAITS) {
		run.configurationWaits++;
		ctx.metrics.retries.inc({operation: 'claimed_attempt', reason});
		await waitForConfiguration(ctx, link.peerVersion(), Math.min(CONFIGURATION_WAIT_MILLIS, remainingMillis(ctx, req)));
		return {tag: 'claim', version: row.version};
	}

	run.refusedBy.add(link.hello.instanceId);
	if (followUp === 'reroute') {
		ctx.metrics.retries.inc({operation: 'claimed_attempt', reason});
		return {tag: 'claim', version: row.version};
	}

	const isAllowed = followUp === 'retry' && await mayRetry(run, reason);
	return isAllowed ? {tag: 'claim', version: row.version} : settledStep(run.lastRefusal);
}

async function mayRetry(run: ClaimedCallState, reason: string): Promise<boolean> {
	const isAllowed = await takeRetry(run.ctx, run.req, {operation: 'claimed_attempt', reason, retries: run.retries});
	run.retries++;
	return isAllowed;
}

/** Another entry stopped this request's attempt: the row names the attempt that took its place. */
async function reread(run: ClaimedCallState, row: ClaimRow): Promise<ClaimedStep> {
	const read = await readClaim(run.ctx.table, row.claim.keyDigest);
	return match(read)
		.returnType<ClaimedStep>()
		.with({tag: 'present'}, ({row: current}) => current.version === row.version
			? {tag: 'claim', version: row.version}
			: {tag: 'inspect', row: current})
		.with({tag: 'absent'}, () => settledStep(run.lastRefusal))
		.with({tag: 'unavailable'}, ({detail}) => settledStep(settleUnknown(row.claim.attemptId, 'table_unavailable', detail)))
		.exhaustive();
}

