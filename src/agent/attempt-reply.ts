/** Replies that report an attempt as refused or broken. */
import type {NotRunReason, UnknownReason} from '../core/outcome.js';
import {OVERLOAD_RETRY_AFTER_MILLIS} from './agent-constants.js';
import type {AttemptTask} from './agent-parts.js';

/** Reports that the attempt did not run and never will; the calling code must guarantee that. */
export async function refuseAttempt({parts, channel, start}: AttemptTask, reason: NotRunReason): Promise<void> {
	const {ctx, attempts} = parts;
	const {attemptId, requestId} = start;
	attempts.finish(attemptId, 'tombstoned');
	ctx.metrics.refusals.inc({reason});
	ctx.audit.append({
		kind: 'not_run', attemptId, requestId, reason, proof: 'refused',
	}, 'may_drop');
	const retryAfterMillis = reason === 'overload' ? OVERLOAD_RETRY_AFTER_MILLIS : 0;
	await channel.send({$case: 'refused', refused: {attemptId, reason, retryAfterMillis}});
}

/** Reports that the attempt has started and that no complete answer will follow. */
export async function reportBroken({parts, channel, start}: AttemptTask, reason: UnknownReason): Promise<void> {
	const {attemptId} = start;
	parts.attempts.finish(attemptId, 'unknown');
	parts.ctx.metrics.unknowns.inc({reason});
	await channel.send({$case: 'broken', broken: {attemptId, reason}});
}
