/**
 * Dispatches calls whose key is claimed in the table before they are sent.
 *
 * Only the attempt that the claim row names may start the call. An entry that finds this attempt not started has the
 * agent record a tombstone for it, and then writes the next attempt into the row. An entry that finds the call running
 * polls the agent until it has the outcome and fetches that: a request that is not in the row never starts the call.
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

/** Runs the request until it has an outcome. */
export async function dispatchClaimed(ctx: DispatchContext, req: CallRequest, key: ClaimedKey): Promise<SettledOutcome> {
	const call: ClaimedCallState = {
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
		step = await takeStep(call, step);
	}

	return step.settled;
}

async function takeStep(call: ClaimedCallState, step: Exclude<ClaimedStep, {tag: 'done'}>): Promise<ClaimedStep> {
	return match(step)
		.with({tag: 'claim'}, async ({version}) => claimKey(call, version))
		.with({tag: 'run'}, async ({row, link}) => runClaimedAttempt(call, row, link))
		.with({tag: 'inspect'}, async ({row}) => inspectClaim(call, row))
		.exhaustive();
}

async function claimKey(call: ClaimedCallState, version: number): Promise<ClaimedStep> {
	const {ctx, req, key} = call;
	if (remainingMillis(ctx, req) === 0) {
		const expired = settleNotRun('never_sent', '', notRun('deadline', 'the deadline passed before an attempt'));
		return settledStep(await settleRefusal(ctx, req, expired));
	}

	const link = ctx.policies.chooseLink(findCandidates(ctx, req.service, call.refusedBy), req);
	if (!link) {
		return version === 0 ? settleWithoutAgent(call) : settledStep(call.lastRefusal);
	}

	const written = await writeClaim(ctx.table, createClaim(req, key, link), version);
	return match(written)
		.returnType<ClaimedStep>()
		.with({tag: 'held'}, ({row}) => ({tag: 'run', row, link}))
		.with({tag: 'taken'}, ({row}) => ({tag: 'inspect', row}))
		.with({tag: 'unavailable'}, ({detail}) => settledStep(settleTableUnavailable(key, detail)))
		.exhaustive();
}

/** Without an agent nothing is claimed, but an earlier request with the key may have run. */
async function settleWithoutAgent({ctx, req, key, lastRefusal}: ClaimedCallState): Promise<ClaimedStep> {
	if (key.isFirstUse) {
		return settledStep(lastRefusal);
	}

	const read = await readClaim(ctx.table, digestKey(req.account, key.key));
	return match(read)
		.returnType<ClaimedStep>()
		.with({tag: 'absent'}, () => settledStep(lastRefusal))
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

/** Nothing was sent for this claim, but without the table it is unknown whether an earlier request with the key ran. */
function settleTableUnavailable(key: ClaimedKey, detail: string): SettledOutcome {
	return key.isFirstUse
		? settleNotRun('never_sent', '', notRun('table_unavailable', detail, NO_BACKEND_SERVER_RETRY_MILLIS))
		: settleUnknown('', 'table_unavailable', detail);
}

