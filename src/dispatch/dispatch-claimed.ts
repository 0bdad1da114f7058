/**
 * Calls with a key that is claimed in the table before they are sent.
 *
 * Only the attempt that the claim row names may start the call. Whoever finds that attempt not started makes the agent
 * promise never to start it, and then writes the next attempt into the row. Whoever finds the call running waits until
 * the agent has its outcome and asks for that: a request that is not in the row never starts anything.
 */
import {match, P} from 'ts-pattern';
import {
	readClaim, writeClaim, type Claim, type ClaimRow,
} from '../claims/claim.js';
import {createId, type InstanceId} from '../core/ids.js';
import type {AgentLink} from '../entry/agent-link.js';
import {digestKey} from '../ledger/key-digest.js';
import {notRun} from '../core/outcome.js';
import {createBodyCollector} from './answer-collectors.js';
import type {CallRequest, KeyUse} from './call-request.js';
import {findCandidates} from './candidates.js';
import {waitForConfiguration} from './configuration-wait.js';
import {
	CLAIM_POLL_MILLIS,
	CONFIGURATION_WAIT_MILLIS,
	CONNECT_TIMEOUT_MILLIS,
	MAX_CONFIGURATION_WAITS,
	NO_BACKEND_SERVER_RETRY_MILLIS,
	QUESTION_TIMEOUT_MILLIS,
	SETTLE_GRACE_MILLIS,
	UNSTARTED_CLAIM_POLLS,
} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {readFormerIncarnation} from './former-incarnation.js';
import {chooseRefusalStep, toNotRunReason, toUnknownReason} from './refusal.js';
import {remainingMillis, runAttempt, type AttemptResult} from './run-attempt.js';
import {
	connectIncarnation, proveNotStarted, queryKey, type AgentIncarnation,
} from './settle-late.js';
import {settleRefusal} from './settle-refusal.js';
import {
	settleAnswered, settleNotRun, settleUnknown, type Settled,
} from './settled.js';

/** The use of a key that is claimed in the table. */
export type OwnKey = Extract<KeyUse, {tag: 'own'}>;

/** One request on its way, with what was learnt so far. */
type Run = {
	readonly ctx: DispatchContext;
	readonly req: CallRequest;
	readonly key: OwnKey;
	readonly refusedBy: Set<InstanceId>;
	retries: number;
	configurationWaits: number;
	/** Looks at a claim whose attempt had not started. */
	unstartedPolls: number;
	/** What is told when no agent takes the call. */
	refusal: Settled;
};

/** What to do next. */
type Step
	/** Write a new attempt into the row, if it still has this version. */
	= | Readonly<{tag: 'claim'; version: number}>
	/** The row names an attempt of this request that was not sent yet. */
		| Readonly<{tag: 'run'; row: ClaimRow; link: AgentLink}>
	/** Find out what became of the attempt in the row. */
		| Readonly<{tag: 'inspect'; row: ClaimRow}>
		| Readonly<{tag: 'done'; settled: Settled}>;

/** Runs the request to its outcome. */
export async function dispatchClaimed(ctx: DispatchContext, req: CallRequest, key: OwnKey): Promise<Settled> {
	const run: Run = {
		ctx,
		req,
		key,
		refusedBy: new Set(),
		retries: 0,
		configurationWaits: 0,
		unstartedPolls: 0,
		refusal: settleNotRun('never_sent', '', notRun('no_backend_server', 'no backend server is linked', NO_BACKEND_SERVER_RETRY_MILLIS)),
	};
	let step: Step = {tag: 'claim', version: 0};
	while (step.tag !== 'done') {
		// Each step follows from the one before.
		// eslint-disable-next-line no-await-in-loop
		step = await takeStep(run, step);
	}

	return step.settled;
}

async function takeStep(run: Run, step: Exclude<Step, {tag: 'done'}>): Promise<Step> {
	return match(step)
		.with({tag: 'claim'}, async ({version}) => claimKey(run, version))
		.with({tag: 'run'}, async ({row, link}) => runClaimed(run, row, link))
		.with({tag: 'inspect'}, async ({row}) => inspectClaim(run, row))
		.exhaustive();
}

function done(settled: Settled): Step {
	return {tag: 'done', settled};
}

async function claimKey(run: Run, version: number): Promise<Step> {
	const {ctx, req, key} = run;
	if (remainingMillis(ctx, req) === 0) {
		const late = settleNotRun('never_sent', '', notRun('deadline', 'the deadline passed before an attempt'));
		return done(await settleRefusal(ctx, req, late));
	}

	const link = ctx.deciders.choose(findCandidates(ctx, req.service, run.refusedBy), req);
	if (!link) {
		return version === 0 ? settleWithoutAgent(run) : done(run.refusal);
	}

	const written = await writeClaim(ctx.table, createClaim(req, key, link), version);
	return match(written)
		.returnType<Step>()
		.with({tag: 'held'}, ({row}) => ({tag: 'run', row, link}))
		.with({tag: 'taken'}, ({row}) => ({tag: 'inspect', row}))
		.with({tag: 'unavailable'}, ({detail}) => done(settleTableUnavailable(key, detail)))
		.exhaustive();
}

/** Without an agent nothing is claimed, but the key may have run before. */
async function settleWithoutAgent({ctx, req, key, refusal}: Run): Promise<Step> {
	if (key.isFirstUse) {
		return done(refusal);
	}

	const read = await readClaim(ctx.table, digestKey(req.account, key.key));
	return match(read)
		.returnType<Step>()
		.with({tag: 'absent'}, () => done(refusal))
		.with({tag: 'present'}, ({row}) => ({tag: 'inspect', row}))
		.with({tag: 'unavailable'}, ({detail}) => done(settleTableUnavailable(key, detail)))
		.exhaustive();
}

function createClaim(req: CallRequest, key: OwnKey, link: AgentLink): Claim {
	return {
		account: req.account,
		keyDigest: digestKey(req.account, key.key),
		requestDigest: req.requestDigest,
		agentId: link.hello.instanceId,
		agentIncarnation: link.hello.incarnation,
		linkAddress: link.address,
		attemptId: createId(),
	};
}

/** Nothing was sent for this claim; whether the key ran before cannot be told without the table. */
function settleTableUnavailable(key: OwnKey, detail: string): Settled {
	return key.isFirstUse
		? settleNotRun('never_sent', '', notRun('table_unavailable', detail, NO_BACKEND_SERVER_RETRY_MILLIS))
		: settleUnknown('', 'table_unavailable', detail);
}

async function runClaimed(run: Run, row: ClaimRow, link: AgentLink): Promise<Step> {
	const {ctx, req} = run;
	const {claim} = row;
	const collector = createBodyCollector();
	const result = await runAttempt(ctx, link, req, {
		attemptId: claim.attemptId,
		offset: collector.beginAttempt(),
		boundIncarnation: claim.agentIncarnation,
		countUnits: collector.countUnits, sink: collector.take,
		signal: undefined,
	});
	return match(result)
		.returnType<Promise<Step> | Step>()
		.with({tag: 'whole'}, ({status, repeated}) => done(settleAnswered(claim.attemptId, status, collector.body(), repeated)))
		.with({tag: 'broken'}, ({reason}) => done(settleUnknown(claim.attemptId, toUnknownReason(reason), reason)))
		.with({tag: 'never_sent'}, () => {
			ctx.metrics.retries.inc({operation: 'claimed_attempt', reason: 'never_sent'});
			return {tag: 'claim' as const, version: row.version};
		})
		.with({tag: 'lost'}, () => {
			ctx.metrics.retries.inc({operation: 'claimed_attempt', reason: 'connection_lost'});
			return {tag: 'inspect' as const, row};
		})
		.with({tag: 'late'}, async () => done(await settleLate(ctx, req, row)))
		.with({tag: 'refused'}, async refusal => followRefusal(run, {row, link, refusal}))
		.exhaustive();
}

type RefusedRun = Readonly<{
	row: ClaimRow;
	link: AgentLink;
	refusal: Extract<AttemptResult, {tag: 'refused'}>;
}>;

async function followRefusal(run: Run, {row, link, refusal}: RefusedRun): Promise<Step> {
	const {ctx, req} = run;
	const reason = toNotRunReason(refusal.reason);
	const {attemptId} = row.claim;
	const retryAfterMillis = refusal.retryAfterMillis > 0 ? refusal.retryAfterMillis : undefined;
	run.refusal = settleNotRun('refused', attemptId, notRun(reason, `refused by ${link.hello.instanceId}`, retryAfterMillis));
	if (reason === 'tombstone') {
		return reread(run, row);
	}

	if (remainingMillis(ctx, req) === 0) {
		return done(run.refusal);
	}

	const followUp = chooseRefusalStep(reason);
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
	return isAllowed ? {tag: 'claim', version: row.version} : done(run.refusal);
}

async function mayRetry(run: Run, reason: string): Promise<boolean> {
	const {ctx, req} = run;
	const verdict = ctx.deciders.decideRetry(req, run.retries);
	if (verdict.tag === 'give_up') {
		ctx.metrics.refusals.inc({reason: `retry_${verdict.reason}`});
		return false;
	}

	run.retries++;
	ctx.metrics.retries.inc({operation: 'claimed_attempt', reason});
	await ctx.clock.sleep(verdict.delayMillis);
	return true;
}

/** Another entry stopped this request's attempt: the row names the attempt that took its place. */
async function reread(run: Run, row: ClaimRow): Promise<Step> {
	const read = await readClaim(run.ctx.table, row.claim.keyDigest);
	return match(read)
		.returnType<Step>()
		.with({tag: 'present'}, ({row: current}) => current.version === row.version
			? {tag: 'claim', version: row.version}
			: {tag: 'inspect', row: current})
		.with({tag: 'absent'}, () => done(run.refusal))
		.with({tag: 'unavailable'}, ({detail}) => done(settleUnknown(row.claim.attemptId, 'table_unavailable', detail)))
		.exhaustive();
}

function agentOf({claim}: ClaimRow): AgentIncarnation {
	return {agentId: claim.agentId, incarnation: claim.agentIncarnation, linkAddress: claim.linkAddress};
}

async function inspectClaim(run: Run, row: ClaimRow): Promise<Step> {
	const {ctx, req} = run;
	if (row.claim.requestDigest !== req.requestDigest) {
		return done(settleNotRun('never_sent', '', notRun('key_reused', 'the key was used for another request')));
	}

	if (remainingMillis(ctx, req) === 0) {
		return done(await settleLate(ctx, req, row));
	}

	const connected = await connectIncarnation(ctx, agentOf(row), Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis(ctx, req)));
	if (!connected.ok) {
		return inspectFormer(ctx, req, row, connected.error === 'gone');
	}

	const link = connected.value;
	const state = await queryKey(link, req, Math.min(QUESTION_TIMEOUT_MILLIS, remainingMillis(ctx, req)));
	return match(state)
		.returnType<Promise<Step> | Step>()
		.with('answered', async () => fetchFirstAnswer(ctx, req, row, link))
		.with('unknown', () => done(settleUnknown(row.claim.attemptId, 'backend_server_failed', 'the call ran and its outcome is unknown')))
		.with(P.union('never_seen', 'tombstoned'), async () => takeOver(run, row, link))
		.with('running', undefined, async () => {
			await ctx.clock.sleep(Math.min(CLAIM_POLL_MILLIS, remainingMillis(ctx, req)));
			return {tag: 'inspect' as const, row};
		})
		.otherwise(() => done(settleUnknown(row.claim.attemptId, 'connection_lost', 'the agent gave no state of the call')));
}

/** The first answer, asked for with an attempt that cannot start anything: the agent has the key's outcome. */
async function fetchFirstAnswer(ctx: DispatchContext, req: CallRequest, row: ClaimRow, link: AgentLink): Promise<Step> {
	const attemptId = createId();
	const collector = createBodyCollector();
	const result = await runAttempt(ctx, link, req, {
		attemptId,
		offset: collector.beginAttempt(),
		boundIncarnation: row.claim.agentIncarnation,
		countUnits: collector.countUnits, sink: collector.take,
		signal: undefined,
	});
	return match(result)
		.returnType<Step>()
		.with({tag: 'whole'}, ({status}) => done(settleAnswered(row.claim.attemptId, status, collector.body(), true)))
		.with({tag: P.union('never_sent', 'lost')}, () => ({tag: 'inspect', row}))
		.with({tag: 'refused', reason: 'key_reused'}, () => done(settleNotRun('refused', attemptId, notRun('key_reused', 'the key was used for another request'))))
		.with({tag: 'late'}, () => done(settleUnknown(row.claim.attemptId, 'deadline', 'the call ran; the deadline passed before its answer came')))
		.with({tag: 'broken'}, ({reason}) => done(settleUnknown(row.claim.attemptId, toUnknownReason(reason), 'the call ran; its answer cannot be had')))
		.with({tag: 'refused'}, ({reason}) => done(settleUnknown(row.claim.attemptId, 'repeat_refused', `the call ran; the agent refuses to repeat its answer (${reason})`)))
		.exhaustive();
}

/** Claims the key anew once the agent has promised never to start the attempt in the row. */
async function takeOver(run: Run, row: ClaimRow, link: AgentLink): Promise<Step> {
	const {ctx, req} = run;
	run.unstartedPolls++;
	if (run.unstartedPolls <= UNSTARTED_CLAIM_POLLS) {
		await ctx.clock.sleep(Math.min(CLAIM_POLL_MILLIS, remainingMillis(ctx, req)));
		return {tag: 'inspect', row};
	}

	const proven = await proveNotStarted(ctx, req, {agent: agentOf(row), attemptIds: [row.claim.attemptId]}, Math.min(QUESTION_TIMEOUT_MILLIS, remainingMillis(ctx, req)));
	if (!proven) {
		await ctx.clock.sleep(Math.min(CLAIM_POLL_MILLIS, remainingMillis(ctx, req)));
		return {tag: 'inspect', row};
	}

	ctx.log.info('claim taken over', {requestId: req.requestId, attemptId: row.claim.attemptId, agentId: link.hello.instanceId});
	ctx.metrics.retries.inc({operation: 'claimed_attempt', reason: 'tombstone'});
	run.refusal = settleNotRun('tombstone', row.claim.attemptId, notRun('no_backend_server', 'no other backend server is linked', NO_BACKEND_SERVER_RETRY_MILLIS));
	return {tag: 'claim', version: row.version};
}

/** The agent incarnation in the row cannot be asked: only the ledger it may have left can tell. */
async function inspectFormer(ctx: DispatchContext, req: CallRequest, row: ClaimRow, isGone: boolean): Promise<Step> {
	const verdict = await readFormerIncarnation(ctx, req, agentOf(row));
	return match(verdict)
		.returnType<Step>()
		.with({tag: 'settled'}, ({settled}) => done(settled))
		.with({tag: 'never_ran'}, () => ({tag: 'claim', version: row.version}))
		.with({tag: 'no_ledger'}, () => done(settleUnknown(
			row.claim.attemptId,
			isGone ? 'incarnation_gone' : 'connection_lost',
			'the agent that was given the call cannot be asked',
		)))
		.exhaustive();
}

async function settleLate(ctx: DispatchContext, req: CallRequest, row: ClaimRow): Promise<Settled> {
	if (await proveNotStarted(ctx, req, {agent: agentOf(row), attemptIds: [row.claim.attemptId]}, SETTLE_GRACE_MILLIS)) {
		return settleNotRun('tombstone', row.claim.attemptId, notRun('deadline', 'the deadline passed before the call began'));
	}

	return settleUnknown(row.claim.attemptId, 'deadline', 'the deadline passed and the call may have run');
}
