/** Serves one start frame: checks it, runs the attempt, and replies. */
import {match} from 'ts-pattern';
import type {ConfigVersion} from '../core/ids.js';
import type {AttemptTask} from './agent-parts.js';
import {findRefusalReason} from './attempt-admission.js';
import {refuseAttempt} from './attempt-reply.js';
import {runModelAttempt} from './run-model-attempt.js';
import {runPlainAttempt} from './run-plain-attempt.js';

/** Serves an attempt. A call to a plain service continues when the signal of the task aborts. */
export async function serveAttempt(task: AttemptTask, entryVersion: ConfigVersion): Promise<void> {
	const {parts, start} = task;
	await match(parts.attempts.tryStart(start.attemptId))
		.with('claimed', async () => serveClaimed(task, entryVersion))
		.with('tombstoned', async () => refuseUnclaimed(task, 'tombstone'))
		.with('full', async () => refuseUnclaimed(task, 'overload'))
		.with('seen', () => {
			parts.ctx.metrics.droppedFrames.inc({reason: 'repeated_start'});
		})
		.exhaustive();
}

async function serveClaimed(task: AttemptTask, entryVersion: ConfigVersion): Promise<void> {
	const {parts, start} = task;
	const reason = findRefusalReason(parts, start, entryVersion);
	if (reason !== undefined) {
		return refuseAttempt(task, reason);
	}

	if (parts.drainState.isDraining()) {
		parts.ctx.audit.append({kind: 'accepted_while_leaving', attemptId: start.attemptId}, 'may_drop');
	}

	const release = parts.inFlight.register(start.attemptId, start.requestId);
	try {
		await match(parts.backend)
			.with({kind: 'engine'}, async ({engine}) => runModelAttempt(task, engine))
			.with({kind: 'plain'}, async ({plain}) => runPlainAttempt(task, plain))
			.exhaustive();
	} finally {
		release();
	}
}

/** Refuses an attempt for which the attempt table holds no claim. */
async function refuseUnclaimed({parts, channel, start}: AttemptTask, reason: 'tombstone' | 'overload'): Promise<void> {
	const {attemptId} = start;
	parts.ctx.metrics.refusals.inc({reason});
	await channel.send({$case: 'refused', refused: {attemptId, reason, retryAfterMillis: 0}});
}
