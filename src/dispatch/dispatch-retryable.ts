/** Requests that may run more than once: another attempt follows one that failed, within the budget of the class. */
import {createId, type InstanceId} from '../core/ids.js';
import type {AgentLink} from '../ports/agent-link.js';
import {notRun} from '../core/outcome.js';
import type {AnswerCollector} from './answer-collectors.js';
import type {CallRequest} from './call-request.js';
import {findCandidates} from './candidates.js';
import {waitForConfiguration} from './wait-for-configuration.js';
import {
	CONFIGURATION_WAIT_MILLIS, MAX_CONFIGURATION_WAITS, NO_BACKEND_SERVER_RETRY_MILLIS, TOMBSTONE_GRACE_MILLIS,
} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {chooseRefusalAction, toNotRunReason, toUnknownReason} from './refusal.js';
import {remainingMillis, runAttempt, type AttemptResult} from './run-attempt.js';
import {proveNotStarted} from './prove-not-started.js';
import {
	settleAnswered, settleNotRun, settleUnknown, type SettledOutcome,
} from './settled.js';
import {takeRetry} from './take-retry.js';
import {waitForLink} from './wait-for-link.js';

/** State of one request over its attempts. */
type Progress = {
	readonly refusedBy: Set<InstanceId>;
	/** Agents whose attempt failed; taken again only when there is no other. */
	readonly failedAt: Set<InstanceId>;
	attempts: number;
	retries: number;
	configurationWaits: number;
	/** Whether an attempt may have run without an answer. */
	mayHaveRun: boolean;
	/** What is told when no further attempt is made. */
	last: SettledOutcome;
};

/** A settled request and how many attempts it took. */
export type RetryableResult = Readonly<{settled: SettledOutcome; attempts: number}>;

/** Runs the request to its outcome. `signal` aborts when the caller has left. */
export async function dispatchRetryable(
	ctx: DispatchContext,
	req: CallRequest,
	collector: AnswerCollector,
	signal?: AbortSignal,
): Promise<RetryableResult> {
	const progress: Progress = {
		refusedBy: new Set(),
		failedAt: new Set(),
		attempts: 0,
		retries: 0,
		configurationWaits: 0,
		mayHaveRun: false,
		last: settleNotRun('never_sent', '', notRun('no_backend_server', 'no backend server is linked', NO_BACKEND_SERVER_RETRY_MILLIS)),
	};

	/* eslint-disable no-await-in-loop -- One attempt after the other. */
	for (;;) {
		if (hasAborted(signal) || remainingMillis(ctx, req) === 0) {
			return finish(progress, settleNotRun('never_sent', '', notRun('deadline', 'the deadline passed before an attempt')));
		}

		const choose = () => chooseLink(ctx, req, progress);
		const link = progress.mayHaveRun ? await waitForLink(ctx, req, choose, signal) : choose();
		if (!link) {
			return finish(progress, progress.last);
		}

		const attemptId = createId();
		progress.attempts++;
		const result = await runAttempt(ctx, link, req, {
			attemptId, offset: collector.beginAttempt(), boundIncarnation: '', countUnits: collector.countUnits, sink: collector.addChunk, signal,
		});
		const settled = await follow(ctx, req, collector, {
			link, attemptId, result, progress, hasCallerLeft: hasAborted(signal),
		});
		if (settled) {
			return {settled, attempts: progress.attempts};
		}
	}
	/* eslint-enable no-await-in-loop */
}

function hasAborted(signal: AbortSignal | undefined): boolean {
	return signal?.aborted === true;
}

function finish(progress: Progress, settled: SettledOutcome): RetryableResult {
	const truth = progress.mayHaveRun && settled.outcome.tag === 'not_run' ? progress.last : settled;
	return {settled: truth, attempts: progress.attempts};
}

function chooseLink(ctx: DispatchContext, req: CallRequest, progress: Progress): AgentLink | undefined {
	const candidates = findCandidates(ctx, req.service, progress.refusedBy);
	const fresh = candidates.filter(link => !progress.failedAt.has(link.hello.instanceId));
	return ctx.policies.chooseLink(fresh.length > 0 ? fresh : candidates, req);
}

type Finished = Readonly<{
	link: AgentLink;
	attemptId: string;
	result: AttemptResult;
	progress: Progress;
	hasCallerLeft: boolean;
}>;

/** The request's outcome, or undefined when another attempt is to follow. */
async function follow(ctx: DispatchContext, req: CallRequest, collector: AnswerCollector, finished: Finished): Promise<SettledOutcome | undefined> {
	const {link, attemptId, result, progress} = finished;
	switch (result.tag) {
		case 'whole': {
			return settleAnswered(attemptId, result.status, collector.body(), result.repeated);
		}

		case 'never_sent': {
			ctx.metrics.retries.inc({operation: 'attempt', reason: 'never_sent'});
			return undefined;
		}

		case 'refused': {
			return followRefusal(ctx, req, result, finished);
		}

		case 'broken':
		case 'lost': {
			const reason = result.tag === 'broken' ? result.reason : 'connection_lost';
			progress.mayHaveRun = true;
			progress.failedAt.add(link.hello.instanceId);
			progress.last = settleUnknown(attemptId, result.tag === 'broken' ? toUnknownReason(reason) : 'connection_lost', reason);
			const isCorrupt = reason === 'digest_mismatch' && collector.isStreaming;
			return !isCorrupt && await mayRetry(ctx, req, progress, reason) ? undefined : progress.last;
		}

		case 'late': {
			return settleLate(ctx, req, finished);
		}
	}
}

async function followRefusal(
	ctx: DispatchContext,
	req: CallRequest,
	refusal: Readonly<{reason: string; retryAfterMillis: number}>,
	{link, attemptId, progress}: Finished,
): Promise<SettledOutcome | undefined> {
	const reason = toNotRunReason(refusal.reason);
	const retryAfterMillis = refusal.retryAfterMillis > 0 ? refusal.retryAfterMillis : undefined;
	if (!progress.mayHaveRun) {
		progress.last = settleNotRun('refused', attemptId, notRun(reason, `refused by ${link.hello.instanceId}`, retryAfterMillis));
	}

	const step = chooseRefusalAction(reason);
	if (step === 'catch_up' && progress.configurationWaits < MAX_CONFIGURATION_WAITS) {
		progress.configurationWaits++;
		ctx.metrics.retries.inc({operation: 'attempt', reason});
		await waitForConfiguration(ctx, link.peerVersion(), Math.min(CONFIGURATION_WAIT_MILLIS, remainingMillis(ctx, req)));
		return undefined;
	}

	progress.refusedBy.add(link.hello.instanceId);
	if (step === 'reroute') {
		ctx.metrics.retries.inc({operation: 'attempt', reason});
		return undefined;
	}

	return step === 'retry' && await mayRetry(ctx, req, progress, reason) ? undefined : progress.last;
}

async function mayRetry(ctx: DispatchContext, req: CallRequest, progress: Progress, reason: string): Promise<boolean> {
	const isAllowed = await takeRetry(ctx, req, {operation: 'attempt', reason, retries: progress.retries});
	progress.retries++;
	return isAllowed;
}

async function settleLate(ctx: DispatchContext, req: CallRequest, {link, attemptId, progress, hasCallerLeft}: Finished): Promise<SettledOutcome> {
	link.cancel(attemptId);
	if (hasCallerLeft) {
		return settleUnknown(attemptId, 'connection_lost', 'the caller has left');
	}

	const agent = {agentId: link.hello.instanceId, incarnation: link.hello.incarnation, linkAddress: link.address};
	if (!progress.mayHaveRun && await proveNotStarted(ctx, req, {agent, attemptIds: [attemptId]}, TOMBSTONE_GRACE_MILLIS)) {
		return settleNotRun('tombstone', attemptId, notRun('deadline', 'the deadline passed before the backend server began'));
	}

	return settleUnknown(attemptId, 'deadline', 'the deadline passed while the request was running');
}
