import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';

/** What a retry is requested for. */
export type RetryDetails = Readonly<{
	/** What would be retried, as named in the retry counter. */
	operation: string;
	reason: string;
	/** Retries of this request so far. */
	retries: number;
}>;

/** Takes a retry from the retry budget of the work class and waits for its backoff; false when no retry is granted. */
export async function takeRetry(ctx: DispatchContext, req: CallRequest, {operation, reason, retries}: RetryDetails): Promise<boolean> {
	const verdict = ctx.policies.decideRetry(req, retries);
	if (verdict.tag === 'give_up') {
		ctx.metrics.refusals.inc({reason: `retry_${verdict.reason}`});
		return false;
	}

	ctx.metrics.retries.inc({operation, reason});
	await ctx.clock.sleep(verdict.delayMillis);
	return true;
}
