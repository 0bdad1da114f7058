import type {CallRequest} from './call-request.js';
import type {DispatchContext} from './dispatch-context.js';

/** A request that asks for one more attempt. */
export type RetryDetails = Readonly<{
	/** What would be repeated, as the retry counter names it. */
	operation: string;
	reason: string;
	/** Retries of this request so far. */
	retries: number;
}>;

/** Takes a retry from the budget of the class and waits its backoff out; false when there is none. */
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
