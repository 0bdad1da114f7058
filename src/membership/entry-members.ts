/** Which entries serve callers, from heartbeat rows in the platform's table store. */
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
	/** Steady time of the store at the heartbeat, in milliseconds. */
	beatAtMillis: z.number(),
});

/** An entry as its last heartbeat describes it. */
export type EntryMember = Readonly<z.infer<typeof memberSchema>> & Readonly<{id: InstanceId}>;

/** The entries, as one of them sees them. */
export type EntryMembers = Readonly<{
	/** Entries that take callers, this one included while it is ready. */
	listReady: () => readonly EntryMember[];
	/**
	 * Entries that the backend servers are shared with, this one included: those heard of lately, ready or not, so that entries
	 * which all start anew do not each take the whole.
	 */
	countSharingEntries: () => number;
	listener: TableListener;
	/** Writes a heartbeat at once, and then regularly until `signal` aborts. */
	runHeartbeat: (signal: AbortSignal) => Promise<void>;
	/** Tells the others that this entry leaves. */
	announceDraining: () => Promise<void>;
}>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	table: TableStore;
	self: Readonly<{id: InstanceId; incarnation: Incarnation; callerAddress: string; failureDomain: string}>;
	isReady: () => boolean;
	heartbeatMillis: number;
	/** Age of a heartbeat from which on its entry is taken for dead, in milliseconds. */
	timeoutMillis: number;
	/** Age of a heartbeat from which on nothing is shared with its entry any more, in milliseconds. */
	sharingTimeoutMillis: number;
}>;

/** Time between two looks whether this entry has become ready, in milliseconds. */
const READY_CHECK_MILLIS = 100;

/** Creates the view of one entry; it knows only itself at first. */
export function createEntryMembers({clock, log, table, self, isReady, heartbeatMillis, timeoutMillis, sharingTimeoutMillis: sharingMillis}: Deps): EntryMembers {
	let members: ReadonlyMap<string, EntryMember> = new Map();
	let contact: Readonly<{storeMillis: number; atMillis: number}> | undefined;
	let isLeaving = false;

	function readState(): EntryMember['state'] {
		if (isLeaving) {
			return 'leaving';
		}

		return isReady() ? 'ready' : 'starting';
	}

	/** Time of the store now; undefined before the first contact. */
	function estimateStoreMillis(): number | undefined {
		return contact && contact.storeMillis + clock.monotonicMillis() - contact.atMillis;
	}

	function readMember({key, text}: FeedRow): EntryMember | undefined {
		try {
			const parsed = memberSchema.safeParse(JSON.parse(text ?? 'null'));
			return parsed.success ? {...parsed.data, id: key} : undefined;
		} catch (error) {
			log.warn('unreadable heartbeat row', {key, detail: String(error)});
			return undefined;
		}
	}

	function apply(before: ReadonlyMap<string, EntryMember>, rows: readonly FeedRow[]): void {
		const after = new Map(before);
		for (const row of rows) {
			const member = row.text === undefined ? undefined : readMember(row);
			if (!member) {
				after.delete(row.key);
				continue;
			}

			if (after.get(row.key)?.state !== member.state) {
				log.info('entry', {
					entry: row.key, state: member.state, incarnation: member.incarnation, address: member.callerAddress,
				});
			}

			after.set(row.key, member);
		}

		members = after;
	}

	function describeSelf(): EntryMember {
		const {id, ...rest} = self;
		return {
			...rest, id, state: readState(), beatAtMillis: estimateStoreMillis() ?? 0,
		};
	}

	async function write(): Promise<boolean> {
		const {id, ...value} = describeSelf();
		const written = await table.transact({conditions: [], writes: [{table: MEMBER_TABLE, key: id, value}]});
		if (!written.ok) {
			log.warn('heartbeat not written', {error: written.error.tag});
		}

		return written.ok;
	}

	/** Waits for the time of the next heartbeat, or until this entry has become ready. */
	async function waitForBeat(before: EntryMember['state'], signal: AbortSignal): Promise<void> {
		const dueMillis = clock.monotonicMillis() + heartbeatMillis;
		while (!signal.aborted && clock.monotonicMillis() < dueMillis && readState() === before) {
			// eslint-disable-next-line no-await-in-loop -- One look after the other.
			await clock.sleep(READY_CHECK_MILLIS, signal);
		}
	}

	return {
		listReady() {
			// Without contact nothing is known of later heartbeats, so ages stand still at the last contact.
			const nowMillis = contact?.storeMillis ?? 0;
			const others = [...members.values()].filter(member =>
				member.id !== self.id && member.state === 'ready' && nowMillis - member.beatAtMillis < timeoutMillis);
			return readState() === 'ready' ? [describeSelf(), ...others] : others;
		},
		countSharingEntries() {
			const nowMillis = contact?.storeMillis ?? 0;
			const others = [...members.values()].filter(member =>
				member.id !== self.id && member.state !== 'leaving' && nowMillis - member.beatAtMillis < sharingMillis);
			return others.length + 1;
		},
		listener: {
			onSnapshot(rows, {storeMillis}) {
				contact = {storeMillis, atMillis: clock.monotonicMillis()};
				apply(new Map(), rows);
			},
			onChanges(rows, {storeMillis}) {
				contact = {storeMillis, atMillis: clock.monotonicMillis()};
				apply(members, rows);
			},
		},
		async runHeartbeat(signal) {
			/* eslint-disable no-await-in-loop -- One heartbeat after the other. */
			while (!signal.aborted && readState() !== 'leaving') {
				const state = readState();
				if (contact) {
					await write();
				}

				await waitForBeat(contact ? state : readState(), signal);
			}
			/* eslint-enable no-await-in-loop */
		},
		async announceDraining() {
			isLeaving = true;
			await write();
		},
	};
}
