/** Starts a gateway: accepts calls and sends them directly to backend servers, using the protocol of its deployment. */
import {setMaxListeners} from 'node:events';
import type {Clock} from '../core/clock.js';
import type {EarlyListener} from '../core/early-listener.js';
import type {Incarnation} from '../core/ids.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {succeed, type Result} from '../core/result.js';
import {createGroupRefusals} from '../decisions/flow/group-refusals.js';
import {createProgressTracker} from '../decisions/flow/progress-tracker.js';
import {createServerBackoff} from '../decisions/flow/server-backoff.js';
import {createServerPicker} from '../decisions/flow/server-picker.js';
import {createRequestQuarantine} from '../decisions/quarantine/request-quarantine.js';
import {createColdEngines} from '../decisions/rate-limit/cold-engines.js';
import {createRateLimiter} from '../decisions/rate-limit/rate-limiter.js';
import {createStatedLimits} from '../decisions/rate-limit/stated-limits.js';
import {listLostRequests} from '../decisions/quarantine/finding.js';
import type {RandomSource} from '../decisions/random.js';
import {createFeedInterrupt} from '../feeds/feed-interrupt.js';
import {
	combineListeners, followTable, type FollowOptions, type TableListener,
} from '../feeds/follow-table.js';
import {chooseLongPollMillis, chooseRetryBackoff, chooseSeldomLongPollMillis} from '../feeds/long-poll.js';
import {createCrashEvidence} from '../membership/crash-evidence.js';
import {createEntryMembers, type EntryMembers} from '../membership/entry-members.js';
import {createStoreObservations} from '../membership/store-observations.js';
import type {Log} from '../observability/log.js';
import type {ReadConfiguration} from '../routing/newest-configuration.js';
import type {CallCodec} from '../ports/call-codec.js';
import type {DatagramSocket} from '../ports/datagram-socket.js';
import type {TableFeed} from '../ports/table-feed.js';
import type {TableStore} from '../ports/table-store.js';
import {createSlowRankList} from '../slow-ranks/slow-rank-list.js';
import {SLOW_RANK_TABLE} from '../slow-ranks/slow-rank-row.js';
import {createBackendConnections} from './backend-connections.js';
import {createBackendServerList, type BackendServerList, type ReadBackendServer} from './backend-server-list.js';
import {listenForCallers, type CallerListener} from './caller-listener.js';
import {createColdWatch} from './cold-watch.js';
import {createConfigurationInForce} from './configuration-in-force.js';
import {createCrashWatch} from './crash-watch.js';
import {drainGateway} from './drain-gateway.js';
import {createDrainSchedule, type DrainSchedule} from './drain-schedule.js';
import {createEvacuationProgress, type DomainEvacuation} from './evacuation-progress.js';
import {createEvacuations, type ReadEvacuation} from './evacuations.js';
import {describeFinding} from './finish-call.js';
import {
	BUFFERED_MEMORY_SHARE, MAX_BUFFERED_BYTES, SERVER_LIST_MIN_INTERVAL_SHARE, SHARING_TIMEOUT_MILLIS,
} from './gateway-constants.js';
import type {GatewayContext} from './gateway-context.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import type {GatewaySettings} from './gateway-settings.js';
import {serveCall} from './serve-call.js';
import {createServiceFlows} from './service-flows.js';

/** Dependencies that the adapter of a deployment provides to a gateway. */
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
	/** Listener for callers that was opened while the process was being loaded; optional. */
	earlyListener?: EarlyListener | undefined;
	/** Monotonic time of the stop signal, which may come during the start; undefined until then. */
	readStopMillis?: (() => number | undefined) | undefined;
	/** Socket for the datagrams between entries. */
	socket: DatagramSocket;
	configuration: Readonly<{table: string; read: ReadConfiguration}>;
	/** Reader of further rows in the configuration's table. */
	evacuations: Readonly<{read: ReadEvacuation}>;
	backendServers: Readonly<{table: string; read: ReadBackendServer}>;
}>;

/** A running gateway. */
export type Gateway = Readonly<{
	port: number;
	isReady: () => boolean;
	members: EntryMembers;
	/** Evacuated failure domains and the calls of this process that still run there. */
	listEvacuations: () => readonly DomainEvacuation[];
	/** Drains the gateway; resolves to the number of calls that were cut off. */
	drain: () => Promise<number>;
}>;

/** Starts a gateway; the life cycle stops its background tasks. */
export async function startGateway(deps: GatewayDeps): Promise<Result<Gateway, ListenError>> {
	const {settings, clock, log, metrics, lifeCycle, random, codec, feed} = deps;
	const opened: {listener?: CallerListener} = {};
	let drainSchedule: DrainSchedule | undefined;
	const cutOff = new AbortController();
	// Each attempt in flight listens; the default number of listeners is meant to show leaks.
	setMaxListeners(0, cutOff.signal);
	let hasServers = false;
	const interrupt = createFeedInterrupt();
	const store = createStoreObservations({
		clock,
		log,
		random,
		interrupt,
		onSilence() {
			members.shareStoreView();
		},
	});
	const servers: BackendServerList = createBackendServerList({
		clock, log, read: deps.backendServers.read, readFailureAgeMillis: store.readFailureAgeMillis, drainMillis: settings.backendDrainMillis,
	});
	const configuration = createConfigurationInForce({
		log,
		readContactAgeMillis: store.readContactAgeMillis,
		read: deps.configuration.read,
		onChange(cfg) {
			metrics.configVersion.set(cfg.version);
			opened.listener?.setLimits(cfg.limits);
			updateFlows();
			coldWatch.check();
			noteReadiness();
		},
	});
	const evacuations = createEvacuations({
		clock,
		log,
		read: deps.evacuations.read,
		onChange(evacuated) {
			evacuationProgress.noteChange(evacuated);
			updateFlows();
		},
	});
	const isReady = () => readDrainSchedule() === undefined && hasServers && configuration.read() !== undefined;
	const quarantine = createRequestQuarantine({
		clock,
		onFound(finding) {
			const requests = listLostRequests(finding).map(lost => lost.attemptId).join(' ');
			log.warn(finding.tag === 'parts' ? 'prompt parts quarantined' : 'request quarantined', {...describeFinding(finding), requests});
			noteQuarantine();
		},
		onReleased(finding) {
			log.info(finding.tag === 'parts' ? 'prompt parts released' : 'request released', finding.tag === 'parts' ? {parts: finding.parts.join(' ')} : {fingerprint: finding.fingerprint});
			noteQuarantine();
		},
	});
	const statedLimits = createStatedLimits({clock, readIncarnation: id => servers.servers.read().get(id)?.incarnation});
	const members = createEntryMembers({
		...deps,
		store,
		evidence: createCrashEvidence(quarantine, clock),
		limits: statedLimits,
		listPermitPools: () => flows.listPermitPools(),
		onLoansChanged(service) {
			metrics.lentPermits.set({service}, members.permits.countLent(service));
			metrics.borrowedPermits.set({service}, members.permits.countBorrowed(service));
		},
		self: {
			id: settings.instanceId,
			incarnation: deps.incarnation,
			callerAddress: settings.callerListen,
			gossipAddress: settings.gossipListen,
			statusAddress: settings.statusListen,
			failureDomain: settings.failureDomain,
			cpuCores: settings.cpuCores,
			linkMbps: settings.linkMbps,
		},
		deadEntryMillis: settings.deadEntryMillis,
		sharingTimeoutMillis: SHARING_TIMEOUT_MILLIS,
		onChange: noteMembers,
	});
	const coldEngines = createColdEngines({
		clock, bounds: settings.coldBounds, readRule: service => configuration.read()?.cfg.services.get(service)?.cold,
	});
	const coldWatch = createColdWatch({
		clock, log, metrics, signal: lifeCycle.signal, engines: coldEngines, onChange: updateFlows,
	});
	const flows = createServiceFlows({
		clock,
		random,
		retryBudgetOptions: settings.retryBudget,
		countEntries: members.countCapacityShares,
		countRetrySharers: members.countRetrySharers,
		isEvacuated: evacuations.isEvacuated,
		readColdRate: server => coldEngines.readRate(server)?.requestsPerMilli,
		countEvacuatedInFlight: service => evacuationProgress.countInFlight(service),
		loans: members.permits,
		isSlow: server => slowRanks.isSlow(server.group),
	});
	const picker = createServerPicker({
		clock,
		random,
		onEjected(id, {failures, forMillis}) {
			log.info('backend server avoided', {server: id, failures, forMillis: Math.round(forMillis)});
		},
	});
	const progress = createProgressTracker();
	const slowRanks = createSlowRankList({clock, log});
	slowRanks.registerListener(updateFlows);
	const serverBackoff = createServerBackoff(random);
	statedLimits.registerListener(({server, requestsPerSecond}) => {
		log.info('backend server limit', {server, requestsPerSecond, entries: members.listLimitSharers().length});
		metrics.limitedServers.set(statedLimits.list().filter(limit => limit.requestsPerSecond !== undefined).length);
	});
	const rateLimiter = createRateLimiter({
		clock, self: settings.instanceId, limits: statedLimits, coldEngines, listEntries: members.listLimitSharers,
	});
	const connections = createBackendConnections({clock, lifeCycle});
	const evacuationProgress = createEvacuationProgress({
		evacuations, readServers: servers.servers.read, countInFlight: picker.countInFlight, connections, onProgress: metrics.setEvacuations,
	});

	const crashWatch = createCrashWatch({
		clock, log, metrics, connections, quarantine, readServers: servers.servers.read,
	});

	/** Steps of the drain, for which the time counts from the stop signal on, however long the start still takes. */
	function readDrainSchedule(): DrainSchedule | undefined {
		const stopMillis = deps.readStopMillis?.();
		if (stopMillis !== undefined) {
			drainSchedule ??= createDrainSchedule(stopMillis, settings.graceMillis);
		}

		return drainSchedule;
	}

	function noteQuarantine(): void {
		const findings = quarantine.listFindings();
		metrics.quarantinedParts.set(findings.filter(({tag}) => tag === 'parts').length);
		metrics.quarantinedRequests.set(findings.filter(({tag}) => tag === 'request').length);
	}

	function updateFlows(): void {
		flows.update(servers.servers.read(), configuration.read()?.cfg);
	}

	function noteMembers(): void {
		metrics.setMembers(members.listBeliefs());
		metrics.callerShare.set(1 / members.countCapacityShares());
		updateFlows();
	}

	function noteReadiness(): void {
		members.setReady(isReady());
	}

	servers.servers.registerListener((after, before) => {
		hasServers ||= after.size > 0;
		coldEngines.update(after);
		updateFlows();
		coldWatch.check();
		noteReadiness();
		picker.retain(id => after.has(id));
		for (const {promptLoad} of flows.list().values()) {
			promptLoad.retain(id => after.has(id));
		}

		progress.retain(id => after.has(id));
		statedLimits.retain();
		rateLimiter.retain(id => after.has(id));
		serverBackoff.update(id => after.get(id)?.incarnation, clock.monotonicMillis());
		for (const [id, server] of before) {
			const next = after.get(id);
			if (next?.incarnation !== server.incarnation || next.state !== server.state) {
				connections.closeIdleConnections(server.address);
			}
		}
	});

	function follow(
		table: string,
		minIntervalMillis: number,
		tableListener: TableListener,
		chooseWaitMillis: FollowOptions['chooseWaitMillis'],
	): void {
		void followTable({
			feed,
			table,
			clock,
			log,
			random,
			signal: lifeCycle.signal,
			chooseWaitMillis,
			chooseBackoff: () => chooseRetryBackoff(members.countSharingEntries()),
			minIntervalMillis,
			listener: tableListener,
			interrupt,
			observer: store,
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
		evacuations,
		evacuationProgress,
		picker,
		flows,
		permitLoans: members.permits,
		progress,
		groupRefusals: createGroupRefusals(),
		slowRanks,
		serverBackoff,
		statedLimits,
		coldEngines,
		rateLimiter,
		noteLeaving: servers.noteLeaving,
		quarantine,
		crashWatch,
		readDrainSchedule,
		cutOffSignal: cutOff.signal,
	};
	const listening = await listenForCallers({
		address: settings.callerListen,
		earlyListener: deps.earlyListener,
		maxConnections: settings.maxConnections,
		maxBufferedBytes: settings.memoryBytes === undefined ? MAX_BUFFERED_BYTES : settings.memoryBytes * BUFFERED_MEMORY_SHARE,
		metrics,
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
	const chooseWaitAt = (shift: number) => (storeMillis: number) => chooseLongPollMillis({...members.readPlace(), shift}, storeMillis);
	follow(deps.configuration.table, 0, combineListeners([evacuations.listener, configuration.listener]), chooseWaitAt(0));
	// The waits on the two tables end in turn: what one of them shows holds for the other one, too.
	follow(deps.backendServers.table, settings.backendDrainMillis * SERVER_LIST_MIN_INTERVAL_SHARE, servers.listener, chooseWaitAt(0.5));
	follow(SLOW_RANK_TABLE, 0, slowRanks.listener, () => chooseSeldomLongPollMillis(random));
	void members.run(lifeCycle.signal);
	const {value} = listening;
	return succeed({
		port: value.port,
		isReady,
		members,
		listEvacuations: evacuationProgress.list,
		async drain() {
			const schedule = readDrainSchedule() ?? createDrainSchedule(clock.monotonicMillis(), settings.graceMillis);
			drainSchedule = schedule;
			void members.announceDraining();
			return drainGateway({
				clock,
				log,
				listener: value,
				schedule,
				endCalls() {
					cutOff.abort();
				},
			});
		},
	});
}
