/**
 * What entries know of each other, asked for over their caller addresses.
 *
 * An entry that is about to end tells the others to look at it. The hint itself is not believed: each asks the entry at
 * its listed address.
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

/** What an entry says of itself. */
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
	/** Looks at the entry, which may be leaving; does nothing for one that is not listed. */
	recheckPeer: (instanceId: InstanceId) => void;
	/** Whether the entry said lately that it is leaving. */
	isDraining: (instanceId: InstanceId) => boolean;
	/** Asks all other listed entries to look at this one; resolves when each has answered or failed to. */
	announceDrain: () => Promise<void>;
	/** States of the other listed entries; undefined for those without an answer. */
	readStates: () => Promise<ReadonlyArray<Readonly<{instance: Instance; state: EntryState | undefined}>>>;
}>;

/** What is needed to ask the others. */
export type EntryPeersDeps = Readonly<{
	clock: Clock;
	ownState: () => EntryState;
	instances: () => readonly Instance[];
	/** Authority of the entries' certificates, PEM; undefined for plain HTTP. */
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

async function sendHint(dispatcher: Agent, callerUrl: string, instanceId: InstanceId): Promise<void> {
	try {
		const url = new URL(`/v1/entry-state/${encodeURIComponent(instanceId)}/check`, callerUrl);
		const res = await request(url, {method: 'POST', dispatcher, signal: AbortSignal.timeout(PEER_TIMEOUT_MILLIS)});
		await res.body.dump();
	} catch {
		// The instance list will tell that entry later.
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
	const leavingSince = new Map<InstanceId, number>();
	const checking = new Set<InstanceId>();

	function findOthers(): readonly Instance[] {
		return instances().filter(instance => instance.role === 'entry' && instance.id !== ownState().instanceId);
	}

	async function check(instance: Instance): Promise<void> {
		checking.add(instance.id);
		const state = await readState(dispatcher, instance.callerUrl);
		checking.delete(instance.id);
		if (state?.instanceId === instance.id && state.leaving) {
			leavingSince.set(instance.id, clock.monotonicMillis());
		}
	}

	return {
		ownState,
		recheckPeer(instanceId) {
			const instance = findOthers().find(other => other.id === instanceId);
			if (instance && !checking.has(instanceId)) {
				void check(instance);
			}
		},
		isDraining(instanceId) {
			const since = leavingSince.get(instanceId);
			return since !== undefined && clock.monotonicMillis() - since < PEER_DRAIN_RETENTION_MILLIS;
		},
		async announceDrain() {
			await Promise.all(findOthers().map(async other => sendHint(dispatcher, other.callerUrl, ownState().instanceId)));
		},
		readStates: async () => Promise.all(findOthers().map(async instance => ({instance, state: await readState(dispatcher, instance.callerUrl)}))),
	};
}
