/** Planned stop of an agent. */
import {handOverLedger} from '../ledger/ledger-hand-over.js';
import type {RequestId} from '../core/ids.js';
import type {AgentParts} from './agent-parts.js';

/** Time between two tries to hand over the ledger, in milliseconds. */
const HAND_OVER_RETRY_MILLIS = 500;

/** Tries to hand over the ledger. */
const HAND_OVER_TRIES = 20;

/** What a drain waited for. */
export type DrainReport = Readonly<{
	/** Requests in flight when the drain began. */
	waitedFor: number;
	/** Requests in flight when it ended. */
	cutOff: number;
	/** The request that ended last; empty when there was none. */
	lastRequestId: RequestId;
	/** False when the object store was away for too long; callers then get `unknown` for the keys of this agent. */
	isLedgerHandedOver: boolean;
}>;

/** Refuses new work, waits for everything in flight and hands over the ledger. Each request ends by its own deadline. */
export async function drainAgent(parts: AgentParts): Promise<DrainReport> {
	const {ctx, settings, inFlight, drainState: leaving} = parts;
	const {instanceId} = settings;
	leaving.setCause('signal', true);
	const waitedFor = inFlight.size();
	ctx.audit.append({kind: 'drain_started', instanceId, inFlight: waitedFor}, 'may_drop');
	await inFlight.waitUntilEmpty();
	const isLedgerHandedOver = await tryHandOver(parts);
	const cutOff = inFlight.size();
	const lastRequestId = inFlight.lastRequestId();
	ctx.audit.append({
		kind: 'drain_ended', instanceId, cutOff, lastRequestId,
	}, 'may_drop');
	return {
		waitedFor, cutOff, lastRequestId, isLedgerHandedOver,
	};
}

/** An empty ledger is handed over as well: it proves that no key ran here. */
async function tryHandOver({ctx, settings, backend, ledger}: AgentParts): Promise<boolean> {
	if (backend.kind === 'engine') {
		return true;
	}

	for (let tries = 1; tries <= HAND_OVER_TRIES; tries += 1) {
		// One try after the other.
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
