/**
 * State of the other entries, which this entry requests at their caller addresses.
 *
 * A draining entry asks the others to check its state. That request alone is not trusted, since anyone can send it: each
 * entry reads the state from the listed address of the entry in question.
 */
import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {z} from 'zod';
import type {Clock} from '../core/clock.js';
import type {ConfigVersion, Incarnation, InstanceId} from '../core/ids.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {Instance} from '../ports/instance-list.js';
import {PEER_DRAIN_RETENTION_MILLIS, PEER_TIMEOUT_MILLIS} from './entry-constants.js';

const entryStateSchema = z.object({
	instanceId: z.string(),
	incarnation: z.string(),
	configVersion: z.number(),
	leaving: z.boolean(),
	inFlight: z.number(),
});

/** State that an entry reports about itself. */
export type EntryState = Readonly<{
	instanceId: InstanceId;
	incarnation: Incarnation;
	configVersion: ConfigVersion;
	leaving: boolean;
	/** Requests in flight. */
	inFlight: number;
}>;

/** The other entries. */
export type EntryPeers = Readonly<{
	ownState: () => EntryState;
	/** Reads the state of an entry that may have begun to drain. Ignores an entry that is not listed. */
	recheckPeer: (instanceId: InstanceId) => void;
	/** Whether the entry reported within `PEER_DRAIN_RETENTION_MILLIS` that it is draining. */
	isDraining: (instanceId: InstanceId) => boolean;
	/** Asks all other listed entries to check this one; resolves when each has answered or failed. */
	announceDrain: () => Promise<void>;
	/** States of the other listed entries; undefined for those that did not answer. */
	readStates: () => Promise<ReadonlyArray<Readonly<{instance: Instance; state: EntryState | undefined}>>>;
}>;

/** Dependencies of the view of the other entries. */
export type EntryPeersDeps = Readonly<{
	clock: Clock;
	ownState: () => EntryState;
	instances: () => readonly Instance[];
	/** Certificate authority of the entries, PEM; undefined for plain HTTP. */
	authority: Uint8Array | undefined;
	lifeCycle: LifeCycle;
}>;

async function readState(dispatcher: Agent, callerUrl: string): Promise<EntryState | undefined> {
	try {
		const res = await request(new URL('/v1/entry-state', callerUrl), {dispatcher, signal: AbortSignal.timeout(PEER_TIMEOUT_MILLIS)});
		const parsed = entryStateSchema.safeParse(await res.body.json());
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

async function requestCheck(dispatcher: Agent, callerUrl: string, instanceId: InstanceId): Promise<void> {
	try {
		const url = new URL(`/v1/entry-state/${encodeURIComponent(instanceId)}/check`, callerUrl);
		const res = await request(url, {method: 'POST', dispatcher, signal: AbortSignal.timeout(PEER_TIMEOUT_MILLIS)});
		await res.body.dump();
	} catch {
		// The other entry learns of the drain from the instance list later.
	}
}

/** Creates the view of the other entries. */
export function createEntryPeers({clock, ownState, instances, authority, lifeCycle}: EntryPeersDeps): EntryPeers {
	const dispatcher = new Agent({
		headersTimeout: PEER_TIMEOUT_MILLIS,
		bodyTimeout: PEER_TIMEOUT_MILLIS,
		connect: {timeout: PEER_TIMEOUT_MILLIS, ca: authority && Buffer.from(authority)},
	});
	lifeCycle.own('connections to entries', async () => dispatcher.destroy());
	const lastDrainReportMillis = new Map<InstanceId, number>();
	const checksInProgress = new Set<InstanceId>();

	function findOthers(): readonly Instance[] {
		return instances().filter(instance => instance.role === 'entry' && instance.id !== ownState().instanceId);
	}

	async function check(instance: Instance): Promise<void> {
		checksInProgress.add(instance.id);
		const state = await readState(dispatcher, instance.callerUrl);
		checksInProgress.delete(instance.id);
		if (state?.instanceId === instance.id && state.leaving) {
			lastDrainReportMillis.set(instance.id, clock.monotonicMillis());
		}
	}

	return {
		ownState,
		recheckPeer(instanceId) {
			const instance = findOthers().find(other => other.id === instanceId);
			if (instance && !checksInProgress.has(instanceId)) {
				void check(instance);
			}
		},
		isDraining(instanceId) {
			const reportedAtMillis = lastDrainReportMillis.get(instanceId);
			return reportedAtMillis !== undefined && clock.monotonicMillis() - reportedAtMillis < PEER_DRAIN_RETENTION_MILLIS;
		},
		async announceDrain() {
			await Promise.all(findOthers().map(async other => requestCheck(dispatcher, other.callerUrl, ownState().instanceId)));
		},
		readStates: async () => Promise.all(findOthers().map(async instance => ({instance, state: await readState(dispatcher, instance.callerUrl)}))),
	};
}
