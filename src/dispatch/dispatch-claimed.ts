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
	done, type OwnKey, type ClaimedRun, type ClaimedStep,
} from './claimed-run.js';
import {NO_BACKEND_SERVER_RETRY_MILLIS} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {inspectClaim} from './inspect-claim.js';
import {remainingMillis} from './run-attempt.js';
import {runClaimed} from './run-claimed.js';
import {settleRefusal} from './settle-refusal.js';
import {settleNotRun, settleUnknown, type Settled} from './settled.js';

/** Runs the request until it has an outcome. */
export async function dispatchClaimed(ctx: DispatchContext, req: CallRequest, key: OwnKey): Promise<Settled> {
	const run: ClaimedRun = {
		ctx,
		req,
		key,
		refusedBy: new Set(),
		retries: 0,
		configurationWaits: 0,
		unstartedPolls: 0,
		refusal: settleNotRun('never_sent', '', notRun('no_backend_server', 'no backend server is linked', NO_BACKEND_SERVER_RETRY_MILLIS)),
	};
	let step: ClaimedStep = {tag: 'claim', version: 0};
	while (step.tag !== 'done') {
		// Each step follows from the one before.
		// eslint-disable-next-line no-await-in-loop
		step = await takeStep(run, step);
	}

	return step.settled;
}

async function takeStep(run: ClaimedRun, step: Exclude<ClaimedStep, {tag: 'done'}>): Promise<ClaimedStep> {
	return match(step)
		.with({tag: 'claim'}, async ({version}) => claimKey(run, version))
		.with({tag: 'run'}, async ({row, link}) => runClaimed(run, row, link))
		.with({tag: 'inspect'}, async ({row}) => inspectClaim(run, row))
		.exhaustive();
}

async function claimKey(run: ClaimedRun, version: number): Promise<ClaimedStep> {
	const {ctx, req, key} = run;
	if (remainingMillis(ctx, req) === 0) {
		const expired = settleNotRun('never_sent', '', notRun('deadline', 'the deadline passed before an attempt'));
		return done(await settleRefusal(ctx, req, expired));
	}

	const link = ctx.deciders.choose(findCandidates(ctx, req.service, run.refusedBy), req);
	if (!link) {
		return version === 0 ? settleWithoutAgent(run) : done(run.refusal);
	}

	const written = await writeClaim(ctx.table, createClaim(req, key, link), version);
	return match(written)
		.returnType<ClaimedStep>()
		.with({tag: 'held'}, ({row}) => ({tag: 'run', row, link}))
		.with({tag: 'taken'}, ({row}) => ({tag: 'inspect', row}))
		.with({tag: 'unavailable'}, ({detail}) => done(settleTableUnavailable(key, detail)))
		.exhaustive();
}

/** Without an agent nothing is claimed, but an earlier request with the key may have run. */
async function settleWithoutAgent({ctx, req, key, refusal}: ClaimedRun): Promise<ClaimedStep> {
	if (key.isFirstUse) {
		return done(refusal);
	}

	const read = await readClaim(ctx.table, digestKey(req.account, key.key));
	return match(read)
		.returnType<ClaimedStep>()
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

/** Nothing was sent for this claim, but without the table it is unknown whether an earlier request with the key ran. */
function settleTableUnavailable(key: OwnKey, detail: string): Settled {
	return key.isFirstUse
		? settleNotRun('never_sent', '', notRun('table_unavailable', detail, NO_BACKEND_SERVER_RETRY_MILLIS))
		: settleUnknown('', 'table_unavailable', detail);
}

