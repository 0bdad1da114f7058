/** Graceful shutdown of an agent. */
import {handOverLedger} from '../ledger/ledger-hand-over.js';
import type {RequestId} from '../core/ids.js';
import type {AgentParts} from './agent-parts.js';

/** Time between two writes of the ledger hand-over, in milliseconds. */
const HAND_OVER_RETRY_MILLIS = 500;

/** Largest number of writes of the ledger hand-over. */
const MAX_HAND_OVER_WRITES = 20;

/** Result of a drain. */
export type DrainReport = Readonly<{
	/** Requests in flight when the drain began. */
	waitedFor: number;
	/** Requests in flight when it ended. */
	cutOff: number;
	/** The request that ended last; empty when there was none. */
	lastRequestId: RequestId;
	/** False when the object store was unavailable for too long; callers then get `unknown` for the keys of this agent. */
	isLedgerHandedOver: boolean;
}>;

/**
 * Refuses new work, waits for all requests in flight and hands over the ledger.
 *
 * The wait needs no timeout, since each request ends by its own deadline.
 */
export async function drainAgent(parts: AgentParts): Promise<DrainReport> {
	const {ctx, settings, inFlight, drainState} = parts;
	const {instanceId} = settings;
	drainState.setCause('signal', true);
	const waitedFor = inFlight.size();
	ctx.audit.append({kind: 'drain_started', instanceId, inFlight: waitedFor}, 'may_drop');
	await inFlight.waitUntilEmpty();
	const isLedgerHandedOver = await handOverWithRetries(parts);
	const cutOff = inFlight.size();
	const lastRequestId = inFlight.lastRequestId();
	ctx.audit.append({
		kind: 'drain_ended', instanceId, cutOff, lastRequestId,
	}, 'may_drop');
	return {
		waitedFor, cutOff, lastRequestId, isLedgerHandedOver,
	};
}

/** Hands over the ledger, even an empty one: that proves that no key ran on this agent. */
async function handOverWithRetries({ctx, settings, backend, ledger}: AgentParts): Promise<boolean> {
	if (backend.kind === 'engine') {
		return true;
	}

	for (let writes = 1; writes <= MAX_HAND_OVER_WRITES; writes += 1) {
		// Each write waits for the result of the one before.
		// eslint-disable-next-line no-await-in-loop
		const written = await handOverLedger(ctx.objects, settings.instanceId, ctx.incarnation, ledger.list());
		if (written.ok) {
			return true;
		}

		ctx.metrics.retries.inc({operation: 'hand_over_ledger', reason: written.error.tag});
		// eslint-disable-next-line no-await-in-loop
		await ctx.clock.sleep(HAND_OVER_RETRY_MILLIS);
	}

	return false;
}
