/** What the platform's store shows of the system. */
import type {Clock} from '../core/clock.js';
import {createId} from '../core/ids.js';
import {succeed, type Result} from '../core/result.js';
import {createBackendServerList, type ReadBackendServer} from '../gateway/backend-server-list.js';
import type {BackendServer} from '../gateway/backend-server.js';
import {createEntryMembers, MEMBER_TABLE} from '../membership/entry-members.js';
import {silentLog, type Log} from '../observability/log.js';
import type {FeedError, TableFeed} from '../ports/table-feed.js';
import type {TableStore} from '../ports/table-store.js';
import {findNewestConfiguration, type ReadConfiguration} from '../routing/newest-configuration.js';

/** What is needed to look. */
export type StatusDeps = Readonly<{
	clock: Clock;
	/** Takes the rows that cannot be read. */
	log: Log;
	feed: TableFeed;
	table: TableStore;
	configuration: Readonly<{table: string; read: ReadConfiguration}>;
	backendServers: Readonly<{table: string; read: ReadBackendServer}>;
	/** Age of a heartbeat from which on its entry is taken for dead, in milliseconds. */
	entryTimeoutMillis: number;
}>;

/** Backend servers of a service, by state; those of broken groups count as broken. */
export type ServiceStatus = Readonly<{name: string; ready: number; leaving: number; broken: number; groups: readonly string[]}>;

/** State of the system as the store shows it. */
export type SystemStatus = Readonly<{
	/** Undefined when no configuration can be read. */
	version: number | undefined;
	routes: number;
	services: readonly ServiceStatus[];
	/** Entries that take callers. */
	entries: ReadonlyArray<Readonly<{id: string; failureDomain: string; address: string; ageMillis: number}>>;
}>;

function summarizeService(name: string, servers: readonly BackendServer[]): ServiceStatus {
	const own = servers.filter(({service}) => service === name);
	const groups = new Map(own.flatMap(({group}) => group ? [[group.name, group] as const] : []));
	return {
		name,
		ready: own.filter(({state, group}) => state === 'ready' && group?.isOpen !== false).length,
		leaving: own.filter(({state}) => state !== 'ready').length,
		broken: own.filter(({state, group}) => state === 'ready' && group?.isOpen === false).length,
		groups: [...groups.values()].map(({name: group, epoch, isOpen, size}) => `${group}: epoch ${epoch}, ${size} ranks, ${isOpen ? 'open' : 'broken'}`),
	};
}

/** Reads everything once. */
export async function readStatus(deps: StatusDeps): Promise<Result<SystemStatus, FeedError>> {
	const {clock, log, feed, table, entryTimeoutMillis} = deps;
	const rows = await feed.readAll(deps.configuration.table);
	const servers = await feed.readAll(deps.backendServers.table);
	const members = await feed.readAll(MEMBER_TABLE);
	const lost = [rows, servers, members].find(page => !page.ok);
	if (lost?.ok === false) {
		return lost;
	}

	const cfg = rows.ok ? findNewestConfiguration(rows.value.rows, deps.configuration.read) : undefined;
	const list = createBackendServerList({clock, log: silentLog, read: deps.backendServers.read});
	if (servers.ok) {
		list.listener.onSnapshot(servers.value.rows, {storeMillis: servers.value.storeMillis, isAfterOutage: false});
	}

	const entries = createEntryMembers({
		clock,
		log,
		table,
		self: {
			id: createId(), incarnation: createId(), callerAddress: '', failureDomain: '',
		},
		isReady: () => false,
		heartbeatMillis: entryTimeoutMillis,
		timeoutMillis: entryTimeoutMillis,
		sharingTimeoutMillis: entryTimeoutMillis,
	});
	const storeMillis = members.ok ? members.value.storeMillis : 0;
	if (members.ok) {
		entries.listener.onSnapshot(members.value.rows, {storeMillis, isAfterOutage: false});
	}

	const known = [...list.servers.read().values()];
	return succeed({
		version: cfg?.version,
		routes: cfg?.routes.length ?? 0,
		services: [...new Set([...cfg?.services.keys() ?? [], ...known.map(({service}) => service)])].map(name => summarizeService(name, known)),
		entries: entries.listReady().map(({id, failureDomain, callerAddress, beatAtMillis}) => ({
			id, failureDomain, address: callerAddress, ageMillis: Math.max(0, Math.round(storeMillis - beatAtMillis)),
		})),
	});
}

/** Lines for people. */
export function describeStatus({version, routes, services, entries}: SystemStatus): readonly string[] {
	return [
		version === undefined ? 'no configuration can be read' : `configuration ${version}, ${routes} routes`,
		...services.flatMap(({name, ready, leaving, broken, groups}) => [
			`service ${name}: ${ready} ready, ${leaving} leaving, ${broken} in broken groups`,
			...groups.map(group => `  group ${group}`),
		]),
		`${entries.length} entries take callers`,
		...entries.map(({id, failureDomain, address, ageMillis}) => `  ${id}  ${failureDomain}  ${address}  heard of ${ageMillis} ms ago`),
	];
}
