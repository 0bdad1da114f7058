/** Agent beside an engine of a rank group: sends it orders, and plans the group's expert map if the engine is rank 0. */
import type {LinkAccess} from '../access/link-access.js';
import {openLinkServer} from '../agent/link-server.js';
import type {Clock} from '../core/clock.js';
import type {Incarnation} from '../core/ids.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {parseHostPort} from '../core/host-port.js';
import {succeed, type Result} from '../core/result.js';
import type {RandomSource} from '../decisions/random.js';
import {followTable, type TableListener} from '../feeds/follow-table.js';
import type {BackendServer} from '../gateway/backend-server.js';
import {createBackendServerList, type ReadBackendServer} from '../gateway/backend-server-list.js';
import {getAnchorRank, PLANNER_RANK, type GroupRanks} from '../map-switch/group-ranks.js';
import {createVersionSource} from '../map-switch/version-row.js';
import type {Log} from '../observability/log.js';
import type {RankEngine} from '../ports/rank-engine.js';
import type {TableFeed} from '../ports/table-feed.js';
import type {TableStore} from '../ports/table-store.js';
import {findNewestConfiguration, type ReadConfiguration} from '../routing/newest-configuration.js';
import type {ExpertLayout, RoutingConfiguration} from '../routing/routing-configuration.js';
import {createSlowRankPublisher} from '../slow-ranks/slow-rank-publisher.js';
import {createChangeDescriber, createMapMemory} from './map-change.js';
import {planGroup} from './group-planner.js';
import {RANK_FEED_LONG_POLL_MILLIS} from './rank-agent-constants.js';
import {createRankWithDirectHolds} from './rank-with-direct-holds.js';
import {createRankService} from './rank-service.js';
import {openRemoteRank, type RemoteRank} from './remote-rank.js';
import {watchForStalledSwitch} from './watch-for-stalled-switch.js';

/** Dependencies that the adapter of a deployment provides to an agent. */
export type RankAgentDeps = Readonly<{
	incarnation: Incarnation;
	clock: Clock;
	log: Log;
	lifeCycle: LifeCycle;
	random: RandomSource;
	access: LinkAccess;
	/** Address on which agents of other ranks connect, as `IP:port`; all agents listen on the same port. */
	listen: string;
	/** `IP:port` of the engine beside the agent. */
	engineAddress: string;
	service: string;
	engine: RankEngine;
	/** Opens access to the engine at an address, bypassing its agent. */
	openEngine: (address: string) => RankEngine;
	feed: TableFeed;
	table: TableStore;
	backendServers: Readonly<{table: string; read: ReadBackendServer}>;
	configuration: Readonly<{table: string; read: ReadConfiguration}>;
}>;

/** Interval between checks of the rank of the agent's engine, in milliseconds. */
const ROLE_CHECK_INTERVAL_MILLIS = 500;

/** Longest wait for a switch to complete when the agent stops, in milliseconds; covers copying and the pass it waits for. */
const DRAIN_TIMEOUT_MILLIS = 2500;

/** A running agent. */
export type RankAgent = Readonly<{
	/** Stops planning after the switch in progress, if any. */
	drain: () => Promise<void>;
}>;

/** Starts an agent; the life cycle stops it. */
export async function startRankAgent(deps: RankAgentDeps): Promise<Result<RankAgent, ListenError>> {
	const {clock, log, lifeCycle, access, engine} = deps;
	const maps = createMapMemory();
	const server = await openLinkServer(access, clock, deps.listen, [createRankService({
		engine, access, clock, log, maps,
	})]);
	if (!server.ok) {
		return server;
	}

	lifeCycle.own('rank listener', server.value.close);
	const {port} = parseHostPort(deps.listen);
	const servers = createBackendServerList({clock, log, read: deps.backendServers.read});
	const remoteRanks = new Map<string, RemoteRank>();
	const describeMapChange = createChangeDescriber();
	const directRanks = new Map<string, RankEngine>();
	const stopping = new AbortController();
	let cfg: RoutingConfiguration | undefined;
	let lastGroup: readonly BackendServer[] | undefined;
	lifeCycle.own('other ranks', () => {
		for (const remote of remoteRanks.values()) {
			remote.close();
		}
	});

	/**
	 * Opens access to a rank through the agent beside it, which costs nothing. Holds and arms go to the engine directly: if an
	 * instance freezes while such an order is in flight, it must be the planner's, because recovery can do without that rank only.
	 */
	function openRank(server: BackendServer): RankEngine {
		return server.address === deps.engineAddress ? engine : createRankWithDirectHolds(openAgent(server), openDirectRank(server));
	}

	function openAgent({address}: BackendServer): RemoteRank {
		const agentAddress = `${parseHostPort(address).host}:${port}`;
		const remote = remoteRanks.get(agentAddress) ?? openRemoteRank(agentAddress, access, clock, describeMapChange);
		remoteRanks.set(agentAddress, remote);
		return remote;
	}

	/** Whether the planner's agent answers. */
	async function askPlanner(): Promise<boolean> {
		const planner = lastGroup?.[PLANNER_RANK];
		const state = planner && await openAgent(planner).readState();
		return state?.ok === true;
	}

	/** Opens access to a rank bypassing its agent, which may have stopped. */
	function openDirectRank({address}: BackendServer): RankEngine {
		const direct = directRanks.get(address) ?? deps.openEngine(address);
		directRanks.set(address, direct);
		return direct;
	}

	/** Listed ranks of the group of the engine beside this agent, ordered by rank; undefined unless all are listed. */
	function listGroup(): readonly BackendServer[] | undefined {
		const listed = [...servers.servers.read().values()];
		const own = listed.find(({address}) => address === deps.engineAddress)?.group;
		if (!own) {
			return undefined;
		}

		const byRank = new Map(listed.filter(({group}) => group?.name === own.name).map(server => [server.group?.rank, server]));
		const ranks = Array.from({length: own.size}, (_, rank) => byRank.get(rank)).filter(rank => rank !== undefined);
		return ranks.length === own.size ? ranks : undefined;
	}

	/** Access to all ranks from the last complete list, because the row of a frozen instance is removed. */
	function readRanks(open: (server: BackendServer) => RankEngine): GroupRanks | undefined {
		return lastGroup?.map(rank => open(rank));
	}

	servers.servers.registerListener(() => {
		lastGroup = listGroup() ?? lastGroup;
	});

	function readLayout(): ExpertLayout | undefined {
		return cfg?.services.get(deps.service)?.engine?.experts;
	}

	function applyConfiguration(rows: Parameters<TableListener['onSnapshot']>[0]): void {
		cfg = findNewestConfiguration(rows, deps.configuration.read, cfg);
	}

	function follow(table: string, listener: TableListener, signal: AbortSignal): void {
		void followTable({
			feed: deps.feed, table, clock, log, random: deps.random, signal, chooseWaitMillis: () => RANK_FEED_LONG_POLL_MILLIS, minIntervalMillis: ROLE_CHECK_INTERVAL_MILLIS, listener,
		});
	}

	async function planOwnGroup(group: string): Promise<void> {
		log.info('planning the expert map of the group', {group});
		follow(deps.configuration.table, {onSnapshot: applyConfiguration, onChanges: applyConfiguration}, lifeCycle.signal);
		await planGroup({
			clock, log, readRanks: () => readRanks(openRank), readLayout, versions: createVersionSource(deps.table, log, group, deps.incarnation),
			slowRanks: createSlowRankPublisher({
				clock, log, table: deps.table, group,
			}),
		}, stopping.signal);
	}

	/** Waits until the engine beside this agent is in a group, then runs the role of its rank: planning or watching for switches. */
	async function runRole(): Promise<void> {
		/* eslint-disable no-await-in-loop -- Polls sequentially. */
		while (!stopping.signal.aborted) {
			const state = await engine.readState();
			if (state.ok && [PLANNER_RANK, getAnchorRank(state.value.group.size)].includes(state.value.group.rank)) {
				const {name, rank} = state.value.group;
				follow(deps.backendServers.table, servers.listener, lifeCycle.signal);
				await (rank === PLANNER_RANK
					? planOwnGroup(name)
					: watchForStalledSwitch({
						clock, log, engine, readRanks: isDirect => readRanks(isDirect ? openDirectRank : openRank), readMap: maps.readVersion, askPlanner,
					}, stopping.signal));
				return;
			}

			await clock.sleep(ROLE_CHECK_INTERVAL_MILLIS, stopping.signal);
		}
		/* eslint-enable no-await-in-loop */
	}

	const planning = runRole();
	return succeed({
		async drain() {
			stopping.abort();
			await Promise.race([planning, clock.sleep(DRAIN_TIMEOUT_MILLIS)]);
		},
	});
}
