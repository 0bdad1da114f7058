/** List of backend servers, built from the entries that they publish about themselves. */
import type {Clock} from '../core/clock.js';
import {createSnapshotStore, type SnapshotStore} from '../core/snapshot-store.js';
import type {TableListener} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {FeedRow} from '../ports/table-feed.js';
import type {BackendServer} from './backend-server.js';
import {EXPIRED_ENTRY_GRACE_MILLIS, EXPIRED_ENTRY_GRACE_SHARE, MAX_REMEMBERED_SERVERS} from './gateway-constants.js';

/** Backend servers by id. */
export type BackendServers = ReadonlyMap<string, BackendServer>;

/** Parses one entry; undefined if it does not describe a backend server. */
export type ReadBackendServer = (id: string, text: string) => BackendServer | undefined;

/** The list and the table listener that updates it. */
export type BackendServerList = Readonly<{
	servers: SnapshotStore<BackendServers>;
	listener: TableListener;
	/** Takes a backend server's own word that it is leaving; until it has started again, it counts as draining whatever its entry says. */
	noteLeaving: (notice: LeavingNotice) => void;
}>;

/** A backend server's notice in an answer that it is leaving. */
export type LeavingNotice = Readonly<{
	server: string;
	incarnation: number;
	/** Id of the caller's attempt that was answered. */
	attemptId: string | undefined;
}>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	read: ReadBackendServer;
	/** Time since a call of this process to the store last failed, of any feed, in milliseconds; optional. */
	readFailureAgeMillis?: () => number;
	/** Time after its entry was removed for which a backend server may get requests at most, in milliseconds; optional. */
	drainMillis?: number;
}>;

/** Whether an entry is older than the one already known for the same backend server. */
function isOutdated(next: BackendServer, known: BackendServer | undefined): boolean {
	if (!known) {
		return false;
	}

	return next.incarnation < known.incarnation
		|| (next.incarnation === known.incarnation && next.sequence < known.sequence);
}

/**
 * Backend servers at whose address another one has started since. They have ended, although after a crash or a loss of power their
 * entries are listed until enough heartbeats are missed.
 */
export function listReplaced(listed: BackendServers): readonly BackendServer[] {
	const startedAtByAddress = new Map<string, number>();
	for (const {address, incarnation} of listed.values()) {
		startedAtByAddress.set(address, Math.max(incarnation, startedAtByAddress.get(address) ?? -Infinity));
	}

	return [...listed.values()].filter(({address, incarnation}) => incarnation < (startedAtByAddress.get(address) ?? -Infinity));
}

/** Changes of several rows, in an order that lets those of each row follow each other. */
type SplitChanges = Readonly<{
	/** Entries that were removed after them. */
	former: readonly FeedRow[];
	/** Keys of the rows that were removed at some time. */
	removed: ReadonlySet<string>;
	/** Entries that were not removed after them. */
	latter: readonly FeedRow[];
}>;

/** Splits the changes of a page, oldest first, at the last removal of each row. */
function splitAtRemovals(rows: readonly FeedRow[]): SplitChanges {
	const lastRemovals = new Map<string, number>();
	for (const [i, {key, text}] of rows.entries()) {
		if (text === undefined) {
			lastRemovals.set(key, i);
		}
	}

	const isFormer = (key: string, i: number) => i < (lastRemovals.get(key) ?? -1);
	const entries = [...rows.entries()].filter(([, {text}]) => text !== undefined);
	return {
		former: entries.filter(([i, {key}]) => isFormer(key, i)).map(([, row]) => row),
		removed: new Set(lastRemovals.keys()),
		latter: entries.filter(([i, {key}]) => !isFormer(key, i)).map(([, row]) => row),
	};
}

/** Creates an empty list. */
export function createBackendServerList({clock, log, read, readFailureAgeMillis = () => Infinity, drainMillis = Infinity}: Deps): BackendServerList {
	const servers = createSnapshotStore<BackendServers>(new Map());
	let reconnectedAtMillis = -Infinity;
	/** Incarnation of each backend server that said itself that it is leaving. */
	const leaving = new Map<string, number>();
	/** Last entry of each backend server that was removed. A store that is restored from an older copy lists it again. */
	const gone = new Map<string, BackendServer>();

	function logChange(next: BackendServer, known: BackendServer | undefined): void {
		if (known?.state !== next.state || known.incarnation !== next.incarnation) {
			log.info('backend server', {
				server: next.id, state: next.state, service: next.service, address: next.address, startedAt: next.incarnation,
			});
		}
	}

	/** Whether an entry is no newer than the last one before its backend server was removed. */
	function isBuried(next: BackendServer): boolean {
		const last = gone.get(next.id);
		return last !== undefined && (next.incarnation < last.incarnation
			|| (next.incarnation === last.incarnation && next.sequence <= last.sequence));
	}

	function bury(server: BackendServer): void {
		gone.delete(server.id);
		gone.set(server.id, server);
		if (gone.size > MAX_REMEMBERED_SERVERS) {
			gone.delete(gone.keys().next().value ?? '');
		}
	}

	function applyNotice(server: BackendServer | undefined): BackendServer | undefined {
		return server && leaving.get(server.id) === server.incarnation ? {...server, state: 'draining'} : server;
	}

	function applyRows(before: BackendServers, rows: readonly FeedRow[]): BackendServers {
		const after = new Map(before);
		for (const {key, text} of rows) {
			const next = text === undefined ? undefined : applyNotice(read(key, text));
			const known = after.get(key);
			if (next && !isOutdated(next, known) && (known !== undefined || !isBuried(next))) {
				logChange(next, known);
				after.set(key, next);
			}
		}

		return after;
	}

	function drop(removed: Iterable<BackendServer>, reason: string): void {
		servers.update(before => {
			const after = new Map(before);
			for (const server of removed) {
				if (after.get(server.id) === server) {
					log.info('backend server gone', {server: server.id, reason});
					after.delete(server.id);
					bury(server);
				}
			}

			return after;
		});
	}

	/** Drops backend servers whose entries expired while the store was unavailable, unless they are written again in time. */
	async function dropAfterGrace(removed: readonly BackendServer[], graceMillis: number): Promise<void> {
		await clock.sleep(graceMillis);
		drop(removed, 'its entry was not written again after a store outage');
	}

	function remove(removed: readonly BackendServer[]): void {
		const sinceFailureMillis = Math.min(readFailureAgeMillis(), clock.monotonicMillis() - reconnectedAtMillis);
		const isRecentlyReconnected = sinceFailureMillis < EXPIRED_ENTRY_GRACE_MILLIS;
		const expired = isRecentlyReconnected ? removed.filter(server => server.state === 'ready') : [];
		drop(removed.filter(server => !expired.includes(server)), 'its entry was removed');
		if (expired.length > 0) {
			// A backend server that has left in the meantime cannot be told from one whose entry expired.
			void dropAfterGrace(expired, Math.min(EXPIRED_ENTRY_GRACE_MILLIS - sinceFailureMillis, drainMillis * EXPIRED_ENTRY_GRACE_SHARE));
		}
	}

	function update(rows: readonly FeedRow[], isRemoved: (id: string) => boolean): void {
		remove([...servers.read().values()].filter(({id}) => isRemoved(id)));
		servers.update(before => applyRows(before, rows));
		drop(listReplaced(servers.read()), 'another one has started at its address');
	}

	function noteContact(isAfterOutage: boolean): void {
		if (isAfterOutage) {
			reconnectedAtMillis = clock.monotonicMillis();
		}
	}

	return {
		servers,
		noteLeaving({server: id, incarnation, attemptId}) {
			if (leaving.get(id) === incarnation) {
				return;
			}

			log.info('backend server leaving', {server: id, startedAt: incarnation, request: attemptId});
			leaving.delete(id);
			leaving.set(id, incarnation);
			if (leaving.size > MAX_REMEMBERED_SERVERS) {
				leaving.delete(leaving.keys().next().value ?? '');
			}

			servers.update(before => {
				const known = before.get(id);
				const next = applyNotice(known);
				if (!known || !next || known.state === next.state) {
					return before;
				}

				logChange(next, known);
				return new Map([...before, [id, next]]);
			});
		},
		listener: {
			onSnapshot(rows, {isAfterOutage}) {
				noteContact(isAfterOutage);
				const listed = new Set(rows.filter(row => row.text !== undefined).map(row => row.key));
				update(rows, id => !listed.has(id));
			},
			onChanges(rows, {isAfterOutage}) {
				noteContact(isAfterOutage);
				if (rows.length > 0) {
					const {former, removed, latter} = splitAtRemovals(rows);
					// What an entry said last before its removal tells later whether another one is newer.
					servers.update(before => applyRows(before, former));
					update(latter, id => removed.has(id));
				}
			},
		},
	};
}
