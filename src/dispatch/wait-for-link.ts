import type {AgentLink} from '../ports/agent-link.js';
import type {CallRequest} from './call-request.js';
import {LINK_POLL_MILLIS, LINK_WAIT_MILLIS} from './dispatch-constants.js';
import type {DispatchContext} from './dispatch-context.js';
import {remainingMillis} from './run-attempt.js';

/**
 * Waits until `choose` finds a link, for a request that may have run and can no longer be refused.
 *
 * Nothing is sent in the meantime, so waiting takes nothing from the retry budget.
 */
export async function waitForLink(
	ctx: DispatchContext,
	req: CallRequest,
	choose: () => AgentLink | undefined,
	signal?: AbortSignal,
): Promise<AgentLink | undefined> {
	const {clock} = ctx;
	const untilMillis = clock.monotonicMillis() + Math.min(LINK_WAIT_MILLIS, remainingMillis(ctx, req));
	let link = choose();
	while (!link && clock.monotonicMillis() < untilMillis && !signal?.aborted) {
		// Polls in sequence until a link is open again.
		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(LINK_POLL_MILLIS, signal);
		link = choose();
	}

	return link;
}
