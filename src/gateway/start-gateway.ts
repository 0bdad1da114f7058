/** A gateway: takes calls and sends them to backend servers directly, over the protocol of its deployment. */
import type {Clock} from '../core/clock.js';
import type {Incarnation} from '../core/ids.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {succeed, type Result} from '../core/result.js';
import {createGroupRefusals} from '../decisions/flow/group-refusals.js';
import {createProgressTracker} from '../decisions/flow/progress-tracker.js';
import {createServerPicker} from '../decisions/flow/server-picker.js';
import type {RandomSource} from '../decisions/random.js';
import {createFeedInterrupt} from '../feeds/feed-interrupt.js';
import {followTable, type TableListener} from '../feeds/follow-table.js';
import {createEntryMembers, MEMBER_TABLE, type EntryMembers} from '../membership/entry-members.js';
import type {Log} from '../observability/log.js';
import type {ReadConfiguration} from '../routing/newest-configuration.js';
import type {CallCodec} from '../ports/call-codec.js';
import type {TableFeed} from '../ports/table-feed.js';
import type {TableStore} from '../ports/table-store.js';
import {createBackendConnections} from './backend-connections.js';
import {createBackendServerList, type BackendServerList, type ReadBackendServer} from './backend-server-list.js';
import {listenForCallers, type CallerListener} from './caller-listener.js';
import {createConfigurationInForce} from './configuration-in-force.js';
import {drainGateway} from './drain-gateway.js';
import {
	FEED_LONG_POLL_MILLIS, HEARTBEAT_INTERVAL_SHARE, MEMBER_LIST_MIN_INTERVAL_SHARE, MEMBER_TIMEOUT_SHARE, MEMBER_LONG_POLL_MILLIS, SERVER_LIST_MIN_INTERVAL_MILLIS, SHARING_TIMEOUT_MILLIS,
} from './gateway-constants.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {GatewaySettings} from './gateway-settings.js';
import {serveCall} from './serve-call.js';
import {createServiceFlows} from './service-flows.js';

/** What a deployment's adapter gives to a gateway. */
export type GatewayDeps = Readonly<{
	settings: GatewaySettings;
	incarnation: Incarnation;
	clock: Clock;
	log: Log;
	metrics: GatewayMetrics;
	lifeCycle: LifeCycle;
	random: RandomSource;
	codec: CallCodec;
	feed: TableFeed;
	table: TableStore;
	configuration: Readonly<{table: string; read: ReadConfiguration}>;
	backendServers: Readonly<{table: string; read: ReadBackendServer}>;
}>;

/** A gateway that takes calls. */
export type Gateway = Readonly<{
	port: number;
	isReady: () => boolean;
	members: EntryMembers;
	/** Stops graciously; resolves to the number of calls broken off. */
	drain: () => Promise<number>;
}>;

/** Starts a gateway; the life cycle ends its tasks. */
export async function startGateway(deps: GatewayDeps): Promise<Result<Gateway, ListenError>> {
	const {settings, clock, log, metrics, lifeCycle, random, codec, feed} = deps;
	const opened: {listener?: CallerListener} = {};
	let isStopping = false;
	let isTakingStreams = true;
	let hasServers = false;
	const servers: BackendServerList = createBackendServerList({clock, log, read: deps.backendServers.read});
	const configuration = createConfigurationInForce({
		clock,
		log,
		read: deps.configuration.read,
		onChange(cfg) {
			metrics.configVersion.set(cfg.version);
			opened.listener?.setLimits(cfg.limits);
			updateFlows();
		},
	});
	const isReady = () => !isStopping && hasServers && configuration.read() !== undefined;
	const members = createEntryMembers({
		clock,
		log,
		table: deps.table,
		self: {
			id: settings.instanceId, incarnation: deps.incarnation, callerAddress: settings.callerListen, failureDomain: settings.failureDomain,
		},
		isReady,
		heartbeatMillis: settings.deadEntryMillis * HEARTBEAT_INTERVAL_SHARE,
		timeoutMillis: settings.deadEntryMillis * MEMBER_TIMEOUT_SHARE,
		sharingTimeoutMillis: SHARING_TIMEOUT_MILLIS,
	});
	const flows = createServiceFlows({
		clock, random, budgetTerms: settings.retryBudget, countEntries: members.countSharingEntries,
	});
	const picker = createServerPicker({
		clock,
		random,
		onEjected(id, {failures, forMillis}) {
			log.info('backend server avoided', {server: id, failures, forMillis: Math.round(forMillis)});
		},
	});
	const progress = createProgressTracker();
	const connections = createBackendConnections({clock, lifeCycle});
	const interrupt = createFeedInterrupt();

	function updateFlows(): void {
		flows.update(servers.servers.read(), configuration.read()?.cfg);
	}

	servers.servers.registerListener((after, before) => {
		hasServers ||= after.size > 0;
		updateFlows();
		picker.retain(id => after.has(id));
		progress.retain(id => after.has(id));
		for (const [id, server] of before) {
			if (after.get(id)?.incarnation !== server.incarnation) {
				connections.closeIdleConnections(server.address);
			}
		}
	});

	function follow(table: string, {waitMillis, paceMillis}: Readonly<{waitMillis: number; paceMillis: number}>, tableListener: TableListener): void {
		void followTable({
			feed,
			table,
			clock,
			log,
			random,
			signal: lifeCycle.signal,
			waitMillis,
			minIntervalMillis: paceMillis,
			listener: tableListener,
			interrupt,
			onContact: configuration.noteContact,
		});
	}

	const ctx: GatewayContext = {
		clock,
		log,
		random,
		metrics,
		codec,
		connections,
		configuration,
		readServers: servers.servers.read,
		picker,
		flows,
		progress,
		groupRefusals: createGroupRefusals(),
		isAcceptingStreams: () => isTakingStreams,
	};
	const listening = await listenForCallers({
		address: settings.callerListen,
		maxConnections: settings.maxConnections,
		clock,
		log,
		lifeCycle,
		codec,
		serve: async call => serveCall(ctx, call),
	});
	if (!listening.ok) {
		return listening;
	}

	opened.listener = listening.value;
	follow(deps.configuration.table, {waitMillis: FEED_LONG_POLL_MILLIS, paceMillis: 0}, configuration.listener);
	follow(deps.backendServers.table, {waitMillis: FEED_LONG_POLL_MILLIS, paceMillis: SERVER_LIST_MIN_INTERVAL_MILLIS}, servers.listener);
	follow(MEMBER_TABLE, {waitMillis: MEMBER_LONG_POLL_MILLIS, paceMillis: settings.deadEntryMillis * MEMBER_LIST_MIN_INTERVAL_SHARE}, {
		onSnapshot(rows, contact) {
			members.listener.onSnapshot(rows, contact);
			updateFlows();
		},
		onChanges(rows, contact) {
			members.listener.onChanges(rows, contact);
			updateFlows();
		},
	});
	void members.runHeartbeat(lifeCycle.signal);
	const {value} = listening;
	return succeed({
		port: value.port,
		isReady,
		members,
		async drain() {
			isStopping = true;
			void members.announceDraining();
			return drainGateway({
				clock,
				log,
				listener: value,
				graceMillis: settings.graceMillis,
				stopAcceptingStreams() {
					isTakingStreams = false;
				},
			});
		},
	});
}
