/** Which backend servers may get work, from the entries that they write about themselves. */
import type {Clock} from '../core/clock.js';
import {createSnapshotStore, type SnapshotStore} from '../core/snapshot-store.js';
import type {TableListener} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {FeedRow} from '../ports/table-feed.js';
import type {BackendServer} from './backend-server.js';
import {EXPIRED_ENTRY_GRACE_MILLIS} from './gateway-constants.js';

/** Backend servers by id. */
export type BackendServers = ReadonlyMap<string, BackendServer>;

/** Reads one entry; undefined when it names no backend server. */
export type ReadBackendServer = (id: string, text: string) => BackendServer | undefined;

/** The list and the listener that keeps it. */
export type BackendServerList = Readonly<{
	servers: SnapshotStore<BackendServers>;
	listener: TableListener;
}>;

type Deps = Readonly<{clock: Clock; log: Log; read: ReadBackendServer}>;

/** Whether an entry is older than what is known of the same backend server. */
function isOutdated(next: BackendServer, known: BackendServer | undefined): boolean {
	if (!known) {
		return false;
	}

	return next.incarnation < known.incarnation
		|| (next.incarnation === known.incarnation && next.sequence < known.sequence);
}

/** Creates an empty list. */
export function createBackendServerList({clock, log, read}: Deps): BackendServerList {
	const servers = createSnapshotStore<BackendServers>(new Map());
	let regainedAtMillis = -Infinity;

	function logChange(next: BackendServer, known: BackendServer | undefined): void {
		if (known?.state !== next.state || known.incarnation !== next.incarnation) {
			log.info('backend server', {
				server: next.id, state: next.state, service: next.service, address: next.address, startedAt: next.incarnation,
			});
		}
	}

	function applyWritten(before: BackendServers, rows: readonly FeedRow[]): BackendServers {
		const after = new Map(before);
		for (const {key, text} of rows) {
			const next = text === undefined ? undefined : read(key, text);
			const known = after.get(key);
			if (next && !isOutdated(next, known)) {
				logChange(next, known);
				after.set(key, next);
			}
		}

		return after;
	}

	function drop(gone: Iterable<BackendServer>, reason: string): void {
		servers.update(before => {
			const after = new Map(before);
			for (const server of gone) {
				if (after.get(server.id) === server) {
					log.info('backend server gone', {server: server.id, reason});
					after.delete(server.id);
				}
			}

			return after;
		});
	}

	/** Drops backend servers whose entries lapsed while the store was away and are not written again in time. */
	async function dropAfterGrace(gone: readonly BackendServer[]): Promise<void> {
		await clock.sleep(EXPIRED_ENTRY_GRACE_MILLIS);
		drop(gone, 'its entry did not come back after an outage of the store');
	}

	function remove(gone: readonly BackendServer[]): void {
		const hasLapsed = clock.monotonicMillis() - regainedAtMillis < EXPIRED_ENTRY_GRACE_MILLIS;
		const lapsed = hasLapsed ? gone.filter(server => server.state === 'ready') : [];
		drop(gone.filter(server => !lapsed.includes(server)), 'its entry was removed');
		if (lapsed.length > 0) {
			void dropAfterGrace(lapsed);
		}
	}

	function update(rows: readonly FeedRow[], isGone: (id: string) => boolean): void {
		remove([...servers.read().values()].filter(({id}) => isGone(id)));
		servers.update(before => applyWritten(before, rows));
	}

	function noteContact(wasLost: boolean): void {
		if (wasLost) {
			regainedAtMillis = clock.monotonicMillis();
		}
	}

	return {
		servers,
		listener: {
			onSnapshot(rows, {isAfterOutage: wasLost}) {
				noteContact(wasLost);
				const listed = new Set(rows.filter(row => row.text !== undefined).map(row => row.key));
				update(rows, id => !listed.has(id));
			},
			onChanges(rows, {isAfterOutage: wasLost}) {
				noteContact(wasLost);
				if (rows.length > 0) {
					const removed = new Set(rows.filter(row => row.text === undefined).map(row => row.key));
					update(rows, id => removed.has(id));
				}
			},
		},
	};
}
