/** Tracks which entries serve callers, by heartbeat rows in the platform's table store. */
import {z} from 'zod';
import type {Clock} from '../core/clock.js';
import type {Incarnation, InstanceId} from '../core/ids.js';
import type {TableListener} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {FeedRow} from '../ports/table-feed.js';
import type {TableStore} from '../ports/table-store.js';

/** Table of the heartbeat rows. */
export const MEMBER_TABLE = 'entries';

const memberSchema = z.object({
	incarnation: z.string(),
	callerAddress: z.string().min(1),
	failureDomain: z.string(),
	state: z.enum(['starting', 'ready', 'leaving']),
	/** Monotonic time of the store at the heartbeat, in milliseconds. */
	beatAtMillis: z.number(),
});

/** An entry as described by its last heartbeat. */
export type EntryMember = Readonly<z.infer<typeof memberSchema>> & Readonly<{id: InstanceId}>;

/** The entries as seen by one of them. */
export type EntryMembers = Readonly<{
	/** Returns the entries that accept callers, including this one while it is ready. */
	listReady: () => readonly EntryMember[];
	/**
	 * Returns how many entries share the backend servers, including this one. Entries with a recent heartbeat count whether or
	 * not they are ready; otherwise each of several entries that restart together would claim the full capacity.
	 */
	countSharingEntries: () => number;
	listener: TableListener;
	/** Writes a heartbeat at once and then periodically until `signal` aborts. */
	runHeartbeat: (signal: AbortSignal) => Promise<void>;
	/** Announces to the other entries that this one is draining. */
	announceDraining: () => Promise<void>;
}>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	table: TableStore;
	self: Readonly<{id: InstanceId; incarnation: Incarnation; callerAddress: string; failureDomain: string}>;
	isReady: () => boolean;
	heartbeatMillis: number;
	/** Heartbeat age from which an entry is considered dead, in milliseconds. */
	timeoutMillis: number;
	/** Heartbeat age from which an entry no longer counts as sharing the backend servers, in milliseconds. */
	sharingTimeoutMillis: number;
}>;

/** Interval between checks of whether the state of this entry has changed, in milliseconds. */
const STATE_CHECK_MILLIS = 100;

/** Creates the view of one entry, which at first contains only itself. */
export function createEntryMembers({clock, log, table, self, isReady, heartbeatMillis, timeoutMillis, sharingTimeoutMillis}: Deps): EntryMembers {
	let members: ReadonlyMap<string, EntryMember> = new Map();
	let contact: Readonly<{storeMillis: number; atMillis: number}> | undefined;
	let isDraining = false;

	function readState(): EntryMember['state'] {
		if (isDraining) {
			return 'leaving';
		}

		return isReady() ? 'ready' : 'starting';
	}

	/** Estimates the current time of the store; undefined before the first contact. */
	function estimateStoreMillis(): number | undefined {
		return contact && contact.storeMillis + clock.monotonicMillis() - contact.atMillis;
	}

	function parseMember({key, text}: FeedRow): EntryMember | undefined {
		try {
			const parsed = memberSchema.safeParse(JSON.parse(text ?? 'null'));
			return parsed.success ? {...parsed.data, id: key} : undefined;
		} catch (error) {
			log.warn('unreadable heartbeat row', {key, detail: String(error)});
			return undefined;
		}
	}

	function applyRows(previous: ReadonlyMap<string, EntryMember>, rows: readonly FeedRow[]): void {
		const updated = new Map(previous);
		for (const row of rows) {
			const member = row.text === undefined ? undefined : parseMember(row);
			if (!member) {
				updated.delete(row.key);
				continue;
			}

			if (updated.get(row.key)?.state !== member.state) {
				log.info('entry', {
					entry: row.key, state: member.state, incarnation: member.incarnation, address: member.callerAddress,
				});
			}

			updated.set(row.key, member);
		}

		members = updated;
	}

	function describeSelf(): EntryMember {
		const {id, ...rest} = self;
		return {
			...rest, id, state: readState(), beatAtMillis: estimateStoreMillis() ?? 0,
		};
	}

	async function writeHeartbeat(): Promise<boolean> {
		const {id, ...value} = describeSelf();
		const written = await table.transact({conditions: [], writes: [{table: MEMBER_TABLE, key: id, value}]});
		if (!written.ok) {
			log.warn('heartbeat not written', {error: written.error.tag});
		}

		return written.ok;
	}

	/** Waits until the next heartbeat is due, or until the state of this entry changes from `state`. */
	async function waitForNextHeartbeat(state: EntryMember['state'], signal: AbortSignal): Promise<void> {
		const dueMillis = clock.monotonicMillis() + heartbeatMillis;
		while (!signal.aborted && clock.monotonicMillis() < dueMillis && readState() === state) {
			// eslint-disable-next-line no-await-in-loop -- Checks are sequential.
			await clock.sleep(STATE_CHECK_MILLIS, signal);
		}
	}

	return {
		listReady() {
			// Without contact to the store, later heartbeats are unknown, so ages are computed as of the last contact.
			const nowMillis = contact?.storeMillis ?? 0;
			const others = [...members.values()].filter(member =>
				member.id !== self.id && member.state === 'ready' && nowMillis - member.beatAtMillis < timeoutMillis);
			return readState() === 'ready' ? [describeSelf(), ...others] : others;
		},
		countSharingEntries() {
			const nowMillis = contact?.storeMillis ?? 0;
			const others = [...members.values()].filter(member =>
				member.id !== self.id && member.state !== 'leaving' && nowMillis - member.beatAtMillis < sharingTimeoutMillis);
			return others.length + 1;
		},
		listener: {
			onSnapshot(rows, {storeMillis}) {
				contact = {storeMillis, atMillis: clock.monotonicMillis()};
				applyRows(new Map(), rows);
			},
			onChanges(rows, {storeMillis}) {
				contact = {storeMillis, atMillis: clock.monotonicMillis()};
				applyRows(members, rows);
			},
		},
		async runHeartbeat(signal) {
			/* eslint-disable no-await-in-loop -- Heartbeats are sequential. */
			while (!signal.aborted && readState() !== 'leaving') {
				const state = readState();
				if (contact) {
					await writeHeartbeat();
				}

				await waitForNextHeartbeat(contact ? state : readState(), signal);
			}
			/* eslint-enable no-await-in-loop */
		},
		async announceDraining() {
			isDraining = true;
			await writeHeartbeat();
		},
	};
}
