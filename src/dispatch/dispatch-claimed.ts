/**
 * Calls with a key that is claimed in the table before they are sent.
 *
 * Only the attempt that the claim row names may start the call. Whoever finds that attempt not started makes the agent
 * promise never to start it, and then writes the next attempt into the row. Whoever finds the call running waits until
 * the agent has its outcome and asks for that: a request that is not in the row never starts anything.
 */
import {match} from 'ts-pattern';
import {readClaim, writeClaim, type Claim} from '../claims/claim.js';
import {createId} from '../core/ids.js';
import {notRun} from '../core/outcome.js';
import type {AgentLink} from '../ports/agent-link.js';
import {digestKey} from '../ledger/key-digest.js';
import type {CallRequest} from './call-request.js';
import {findCandidates} from './candidates.js';
import {
	settledStep, type ClaimedKey, type ClaimedCallState, type ClaimedStep,
} from './claimed-call-state.js';
import {NO_BACKEND_SERVER_RETRY_MILLIS} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {inspectClaim} from './inspect-claim.js';
import {remainingMillis} from './run-attempt.js';
import {runClaimedAttempt} from './run-claimed-attempt.js';
import {settleRefusal} from './settle-refusal.js';
import {settleNotRun, settleUnknown, type SettledOutcome} from './settled.js';

/** Runs the request to its outcome. */
export async function dispatchClaimed(ctx: DispatchContext, req: CallRequest, key: ClaimedKey): Promise<SettledOutcome> {
	const run: ClaimedCallState = {
		ctx,
		req,
		key,
		refusedBy: new Set(),
		retries: 0,
		configurationWaits: 0,
		unstartedPolls: 0,
		lastRefusal: settleNotRun('never_sent', '', notRun('no_backend_server', 'no backend server is linked', NO_BACKEND_SERVER_RETRY_MILLIS)),
	};
	let step: ClaimedStep = {tag: 'claim', version: 0};
	while (step.tag !== 'done') {
		// Each step follows from the one before.
		// eslint-disable-next-line no-await-in-loop
		step = await takeStep(run, step);
	}

	return step.settled;
}

async function takeStep(run: ClaimedCallState, step: Exclude<ClaimedStep, {tag: 'done'}>): Promise<ClaimedStep> {
	return match(step)
		.with({tag: 'claim'}, async ({version}) => claimKey(run, version))
		.with({tag: 'run'}, async ({row, link}) => runClaimedAttempt(run, row, link))
		.with({tag: 'inspect'}, async ({row}) => inspectClaim(run, row))
		.exhaustive();
}

async function claimKey(run: ClaimedCallState, version: number): Promise<ClaimedStep> {
	const {ctx, req, key} = run;
	if (remainingMillis(ctx, req) === 0) {
		const late = settleNotRun('never_sent', '', notRun('deadline', 'the deadline passed before an attempt'));
		return settledStep(await settleRefusal(ctx, req, late));
	}

	const link = ctx.policies.chooseLink(findCandidates(ctx, req.service, run.refusedBy), req);
	if (!link) {
		return version === 0 ? settleWithoutAgent(run) : settledStep(run.lastRefusal);
	}

	const written = await writeClaim(ctx.table, createClaim(req, key, link), version);
	return match(written)
		.returnType<ClaimedStep>()
		.with({tag: 'held'}, ({row}) => ({tag: 'run', row, link}))
		.with({tag: 'taken'}, ({row}) => ({tag: 'inspect', row}))
		.with({tag: 'unavailable'}, ({detail}) => settledStep(settleTableUnavailable(key, detail)))
		.exhaustive();
}

/** Without an agent nothing is claimed, but the key may have run before. */
async function settleWithoutAgent({ctx, req, key, lastRefusal: refusal}: ClaimedCallState): Promise<ClaimedStep> {
	if (key.isFirstUse) {
		return settledStep(refusal);
	}

	const read = await readClaim(ctx.table, digestKey(req.account, key.key));
	return match(read)
		.returnType<ClaimedStep>()
		.with({tag: 'absent'}, () => settledStep(refusal))
		.with({tag: 'present'}, ({row}) => ({tag: 'inspect', row}))
		.with({tag: 'unavailable'}, ({detail}) => settledStep(settleTableUnavailable(key, detail)))
		.exhaustive();
}

function createClaim(req: CallRequest, key: ClaimedKey, link: AgentLink): Claim {
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
function settleTableUnavailable(key: ClaimedKey, detail: string): SettledOutcome {
	return key.isFirstUse
		? settleNotRun('never_sent', '', notRun('table_unavailable', detail, NO_BACKEND_SERVER_RETRY_MILLIS))
		: settleUnknown('', 'table_unavailable', detail);
}

