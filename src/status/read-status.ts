/** Status of the system as the platform's store shows it. */
import type {Clock} from '../core/clock.js';
import {succeed, type Result} from '../core/result.js';
import {createBackendServerList, type ReadBackendServer} from '../gateway/backend-server-list.js';
import type {BackendServer} from '../gateway/backend-server.js';
import type {EntryBelief} from '../membership/entry-members.js';
import {ENTRY_TABLE, readEntryRows, type RegisteredEntry} from '../membership/entry-row.js';
import {silentLog, type Log} from '../observability/log.js';
import type {FeedError, TableFeed} from '../ports/table-feed.js';
import {findNewestConfiguration, type ReadConfiguration} from '../routing/newest-configuration.js';

export type StatusDeps = Readonly<{
	clock: Clock;
	/** Receives a line for each row that cannot be read. */
	log: Log;
	feed: TableFeed;
	/** Asks the entry that reports on this address what it believes of the others. */
	readBeliefs: (statusAddress: string) => Promise<Result<readonly EntryBelief[], string>>;
	configuration: Readonly<{table: string; read: ReadConfiguration}>;
	backendServers: Readonly<{table: string; read: ReadBackendServer}>;
}>;

/** Numbers of backend servers of a service by state; ready ones in broken groups count as broken. */
export type ServiceStatus = Readonly<{name: string; ready: number; leaving: number; broken: number; groups: readonly string[]}>;

export type SystemStatus = Readonly<{
	/** Undefined when no configuration can be read. */
	version: number | undefined;
	routes: number;
	services: readonly ServiceStatus[];
	/** Entries that have registered in the store, with their state as the entry `reporter` believes it. */
	entries: ReadonlyArray<Readonly<{id: string; failureDomain: string; address: string; state: string}>>;
	/** Entry that was asked; undefined if none answered. */
	reporter: string | undefined;
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

type Report = Readonly<{reporter: string | undefined; beliefs: readonly EntryBelief[]}>;

/** Asks the registered entries one after the other until one answers. */
async function askEntries(registered: readonly RegisteredEntry[], {readBeliefs, log}: StatusDeps): Promise<Report> {
	for (const {id, statusAddress} of registered) {
		// eslint-disable-next-line no-await-in-loop -- One answer is enough.
		const beliefs = await readBeliefs(statusAddress);
		if (beliefs.ok) {
			return {reporter: id, beliefs: beliefs.value};
		}

		log.info('entry does not answer', {entry: id, detail: beliefs.error});
	}

	return {reporter: undefined, beliefs: []};
}

/** Reads all tables once, asks one entry for its view of the others, and summarizes the answers. */
export async function readStatus(deps: StatusDeps): Promise<Result<SystemStatus, FeedError>> {
	const {clock, log, feed} = deps;
	const configurationPage = await feed.readAll(deps.configuration.table);
	const serverPage = await feed.readAll(deps.backendServers.table);
	const entryPage = await feed.readAll(ENTRY_TABLE);
	const failedRead = [configurationPage, serverPage, entryPage].find(page => !page.ok);
	if (failedRead?.ok === false) {
		return failedRead;
	}

	const cfg = configurationPage.ok ? findNewestConfiguration(configurationPage.value.rows, deps.configuration.read) : undefined;
	const serverList = createBackendServerList({clock, log: silentLog, read: deps.backendServers.read});
	if (serverPage.ok) {
		serverList.listener.onSnapshot(serverPage.value.rows, {storeMillis: serverPage.value.storeMillis, isAfterOutage: false});
	}

	const registered = entryPage.ok ? readEntryRows(entryPage.value.rows, log) : [];
	const {reporter, beliefs} = await askEntries(registered, deps);
	const states = new Map(beliefs.map(({id, state}) => [id, state]));
	const listedServers = [...serverList.servers.read().values()];
	return succeed({
		version: cfg?.version,
		routes: cfg?.routes.length ?? 0,
		services: [...new Set([...cfg?.services.keys() ?? [], ...listedServers.map(({service}) => service)])].map(name => summarizeService(name, listedServers)),
		entries: registered.map(({id, failureDomain, callerAddress}) => ({
			id, failureDomain, address: callerAddress, state: states.get(id) ?? 'unknown',
		})),
		reporter,
	});
}

/** Formats the status as human-readable lines. */
export function describeStatus({version, routes, services, entries, reporter}: SystemStatus): readonly string[] {
	return [
		version === undefined ? 'no configuration can be read' : `configuration ${version}, ${routes} routes`,
		...services.flatMap(({name, ready, leaving, broken, groups}) => [
			`service ${name}: ${ready} ready, ${leaving} leaving, ${broken} in broken groups`,
			...groups.map(group => `  group ${group}`),
		]),
		reporter === undefined ? `${entries.length} entries have registered; none answers` : `${entries.length} entries have registered; states as ${reporter} believes`,
		...entries.map(({id, failureDomain, address, state}) => `  ${id}  ${failureDomain}  ${address}  ${state}`),
	];
}
