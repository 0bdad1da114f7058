/** Status of the system as the platform's store shows it. */
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

export type StatusDeps = Readonly<{
	clock: Clock;
	/** Receives a line for each row that cannot be read. */
	log: Log;
	feed: TableFeed;
	table: TableStore;
	configuration: Readonly<{table: string; read: ReadConfiguration}>;
	backendServers: Readonly<{table: string; read: ReadBackendServer}>;
	/** Age of a heartbeat at which its entry counts as dead, in milliseconds. */
	entryTimeoutMillis: number;
}>;

/** Numbers of backend servers of a service by state; ready ones in broken groups count as broken. */
export type ServiceStatus = Readonly<{name: string; ready: number; leaving: number; broken: number; groups: readonly string[]}>;

export type SystemStatus = Readonly<{
	/** Undefined when no configuration can be read. */
	version: number | undefined;
	routes: number;
	services: readonly ServiceStatus[];
	/** Entries that accept callers. */
	entries: ReadonlyArray<Readonly<{id: string; failureDomain: string; address: string; ageMillis: number}>>;
}>;

function summarizeService(name: string, servers: readonly BackendServer[]): ServiceStatus {
	const serviceServers = servers.filter(({service}) => service === name);
	const groups = new Map(serviceServers.flatMap(({group}) => group ? [[group.name, group] as const] : []));
	return {
		name,
		ready: serviceServers.filter(({state, group}) => state === 'ready' && group?.isOpen !== false).length,
		leaving: serviceServers.filter(({state}) => state !== 'ready').length,
		broken: serviceServers.filter(({state, group}) => state === 'ready' && group?.isOpen === false).length,
		groups: [...groups.values()].map(({name: group, epoch, isOpen, size}) => `${group}: epoch ${epoch}, ${size} ranks, ${isOpen ? 'open' : 'broken'}`),
	};
}

/** Reads all tables once and summarizes them. */
export async function readStatus(deps: StatusDeps): Promise<Result<SystemStatus, FeedError>> {
	const {clock, log, feed, table, entryTimeoutMillis} = deps;
	const configurationPage = await feed.readAll(deps.configuration.table);
	const serverPage = await feed.readAll(deps.backendServers.table);
	const memberPage = await feed.readAll(MEMBER_TABLE);
	const failedRead = [configurationPage, serverPage, memberPage].find(page => !page.ok);
	if (failedRead?.ok === false) {
		return failedRead;
	}

	const cfg = configurationPage.ok ? findNewestConfiguration(configurationPage.value.rows, deps.configuration.read) : undefined;
	const serverList = createBackendServerList({clock, log: silentLog, read: deps.backendServers.read});
	if (serverPage.ok) {
		serverList.listener.onSnapshot(serverPage.value.rows, {storeMillis: serverPage.value.storeMillis, isAfterOutage: false});
	}

	const entryMembers = createEntryMembers({
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
	const storeMillis = memberPage.ok ? memberPage.value.storeMillis : 0;
	if (memberPage.ok) {
		entryMembers.listener.onSnapshot(memberPage.value.rows, {storeMillis, isAfterOutage: false});
	}

	const listedServers = [...serverList.servers.read().values()];
	return succeed({
		version: cfg?.version,
		routes: cfg?.routes.length ?? 0,
		services: [...new Set([...cfg?.services.keys() ?? [], ...listedServers.map(({service}) => service)])].map(name => summarizeService(name, listedServers)),
		entries: entryMembers.listReady().map(({id, failureDomain, callerAddress, beatAtMillis}) => ({
			id, failureDomain, address: callerAddress, ageMillis: Math.max(0, Math.round(storeMillis - beatAtMillis)),
		})),
	});
}

/** Formats the status as human-readable lines. */
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
