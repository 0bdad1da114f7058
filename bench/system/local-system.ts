import {mkdtemp, rm} from 'node:fs/promises';
import os from 'node:os';
import path from 'node:path';
import {invariant} from '../../src/core/invariant.js';
import {systemClock} from '../../src/core/system-clock.js';
import type {Instance} from '../../src/ports/instance-list.js';
import {startTcpRelay, type TcpRelay} from './tcp-relay.js';
import {createDaemonProcess, type DaemonProcess} from './daemon-process.js';
import {findFreePorts} from './free-ports.js';
import {respondsOk} from './http-json.js';
import {createStandInProcess, type StandInProcess} from './stand-in-process.js';
import type {ManagedProcess} from './managed-process.js';
import type {SystemOptions} from './system-options.js';

/** Maximum number of ports that one daemon needs: listener, relay, metrics, operators. */
const PORTS_PER_DAEMON = 4;
/** Longest time from SIGTERM to the exit of a process before it is killed, in milliseconds. */
const EXIT_TIMEOUT_MILLIS = 15_000;
/** Longest wait until all daemons are ready, in milliseconds. */
const READY_TIMEOUT_MILLIS = 20_000;
const READY_POLL_MILLIS = 50;

/** A complete system of entries, agents, and stand-ins for the platform and the backend servers, as separate processes on loopback. */
export type LocalSystem = Readonly<{
	options: SystemOptions;
	/** Directory of the settings files and logs. */
	dir: string;
	table: StandInProcess;
	objects: StandInProcess;
	instanceList: StandInProcess;
	weightStore: StandInProcess;
	rankGroup: StandInProcess;
	engines: readonly StandInProcess[];
	plainServices: readonly StandInProcess[];
	/** Agents of the engines, by rank. */
	engineAgents: readonly DaemonProcess[];
	plainAgents: readonly DaemonProcess[];
	entries: readonly DaemonProcess[];
	/** TCP relays in front of the agents: those of the engines by rank, then those of the plain services. */
	relays: readonly TcpRelay[];
	/** Waits until each running daemon has a configuration and its links. */
	waitAllReady: () => Promise<void>;
	/** Sends SIGTERM to all daemons concurrently, waits until they exit, calls `beforePlatformStops`, then stops the stand-ins. */
	close: <T>(beforePlatformStops: () => Promise<T>) => Promise<ShutdownReport<T>>;
}>;

/** How the shutdown of a system went. */
export type ShutdownReport<T> = Readonly<{
	/** Daemons that did not exit by themselves with exit code 0. When there are any, the directory with the logs is kept. */
	uncleanExits: readonly string[];
	/** Value of the callback given to `close`. */
	callbackResult: T;
}>;

type PortAllocator = () => number;

async function createPortAllocator(count: number): Promise<PortAllocator> {
	const ports = [...await findFreePorts(count)];
	return () => {
		const port = ports.pop();
		invariant(port !== undefined, 'no reserved port left');
		return port;
	};
}

function createStandIns(options: SystemOptions, dir: string, nextPort: PortAllocator) {
	const create = (name: string, kind: string, args: Readonly<Record<string, string | number | boolean>> = {}) => createStandInProcess({
		name, kind, port: nextPort(), logDir: dir, args,
	});
	const weightStore = create('weight-store', 'weight-store', {'rate-per-second': options.weightLoadsPerSecond});
	const rankGroup = create('rank-group', 'rank-group', {ranks: options.ranks, 'step-millis': options.stepMillis});
	const engines = Array.from({length: options.ranks}, (_, rank) => create(`engine-${rank}`, 'engine', {
		rank,
		group: rankGroup.url,
		'weight-store': weightStore.url,
		'checks-fencing': options.checksFencing,
		ranks: options.ranks,
		layers: options.layers,
		experts: options.experts,
		'slots-per-rank': options.slotsPerRank,
		'drift-steps': options.driftSteps,
		seed: options.seed,
	}));
	return {
		table: create('table', 'table'),
		objects: create('objects', 'objects'),
		instanceList: create('instance-list', 'instance-list', {'lag-millis': options.instanceListLagMillis}),
		weightStore,
		rankGroup,
		engines,
		plainServices: Array.from({length: options.plainServices}, (_, i) => create(`plain-${i}`, 'plain', {'work-millis': options.plainWorkMillis})),
	};
}

type RelayedPort = Readonly<{listenPort: number; targetPort: number}>;

type StandIns = ReturnType<typeof createStandIns>;

function createSettings(instance: Instance, metricsPort: number, standIns: StandIns, options: SystemOptions) {
	return {
		role: instance.role,
		instance_id: instance.id,
		region: instance.region,
		failure_domain: instance.failureDomain,
		metrics_listen: `127.0.0.1:${metricsPort}`,
		audit_interval_millis: options.auditIntervalMillis,
		platform: {table_url: standIns.table.url, object_url: standIns.objects.url, instance_list_url: standIns.instanceList.url},
	};
}

function createDaemons(options: SystemOptions, dir: string, nextPort: PortAllocator, standIns: StandIns) {
	const failureDomainOf = (i: number) => options.failureDomains[i % options.failureDomains.length] ?? 'domain-a';
	const base = {region: options.region, state: 'live'} as const;
	const relayedPorts: RelayedPort[] = [];

	function createEntry(i: number): DaemonProcess {
		const callerPort = nextPort();
		const metricsPort = nextPort();
		const operatorPort = nextPort();
		const callerUrl = `http://127.0.0.1:${callerPort}`;
		const instance: Instance = {
			...base, id: `entry-${i}`, role: 'entry', failureDomain: failureDomainOf(i), callerUrl, linkAddress: '', service: '', group: '', rank: -1,
		};
		const settings = {
			...createSettings(instance, metricsPort, standIns, options),
			caller_listen: `127.0.0.1:${callerPort}`,
			caller_url: callerUrl,
			operator_listen: `127.0.0.1:${operatorPort}`,
			weight_loads_per_second: options.weightLoadsPerSecond,
			address_lifetime_millis: options.addressLifetimeMillis,
			plan_interval_millis: options.planIntervalMillis,
		};
		return createDaemonProcess({
			instance, metricsPort, operatorPort, dir, settings,
		});
	}

	function createAgent(i: number, name: string, backendUrl: string, rank: number): DaemonProcess {
		const linkPort = nextPort();
		const listedPort = options.withRelays ? nextPort() : linkPort;
		const metricsPort = nextPort();
		const isEngine = rank >= 0;
		if (options.withRelays) {
			relayedPorts.push({listenPort: listedPort, targetPort: linkPort});
		}

		const instance: Instance = {
			...base,
			id: name,
			role: 'agent',
			failureDomain: failureDomainOf(i),
			callerUrl: '',
			linkAddress: `127.0.0.1:${listedPort}`,
			service: isEngine ? options.modelService : options.plainService,
			group: isEngine ? options.group : '',
			rank,
		};
		const settings = {
			...createSettings(instance, metricsPort, standIns, options),
			link_listen: `127.0.0.1:${linkPort}`,
			service: instance.service,
			group: instance.group,
			rank,
			backend: {kind: isEngine ? 'engine' : 'plain', url: backendUrl, checks_fencing: options.checksFencing},
		};
		return createDaemonProcess({
			instance, metricsPort, operatorPort: 0, dir, settings,
		});
	}

	return {
		engineAgents: standIns.engines.map((engine, rank) => createAgent(rank, `agent-engine-${rank}`, engine.url, rank)),
		plainAgents: standIns.plainServices.map((plain, i) => createAgent(i, `agent-plain-${i}`, plain.url, -1)),
		entries: Array.from({length: options.entries}, (_, i) => createEntry(i)),
		relayedPorts,
	};
}

async function startAll(processes: readonly ManagedProcess[]): Promise<void> {
	for (const managed of processes) {
		managed.launch();
	}

	await Promise.all(processes.map(async managed => managed.waitReady()));
}

async function killAll(processes: readonly ManagedProcess[]): Promise<void> {
	await Promise.all(processes.map(async managed => {
		managed.signal('SIGKILL');
		return managed.waitEnd();
	}));
}

/** Stops a process, even one paused by SIGSTOP; resolves to whether it exited by itself with exit code 0. */
async function stopProcess(managed: ManagedProcess): Promise<boolean> {
	const timeout = new AbortController();
	managed.signal('SIGCONT');
	managed.signal('SIGTERM');
	const timedOut = systemClock.sleep(EXIT_TIMEOUT_MILLIS, timeout.signal).then(() => undefined);
	const end = await Promise.race([managed.waitEnd(), timedOut]);
	timeout.abort();
	if (end === undefined) {
		managed.signal('SIGKILL');
		await managed.waitEnd();
	}

	return end?.code === 0;
}

async function waitAllReady(daemons: readonly DaemonProcess[]): Promise<void> {
	const deadline = systemClock.monotonicMillis() + READY_TIMEOUT_MILLIS;
	for (const daemon of daemons.filter(item => item.pid() !== undefined)) {
		// eslint-disable-next-line no-await-in-loop
		while (!await respondsOk(`${daemon.metricsUrl}/readyz`)) {
			invariant(systemClock.monotonicMillis() < deadline, `${daemon.name} did not become ready in time`);
			// eslint-disable-next-line no-await-in-loop
			await systemClock.sleep(READY_POLL_MILLIS);
		}
	}
}

/** Starts all processes. The system has no configuration yet. */
export async function startLocalSystem(options: SystemOptions): Promise<LocalSystem> {
	const dir = await mkdtemp(path.join(os.tmpdir(), 'pollenport-'));
	const daemonCount = options.entries + options.ranks + options.plainServices;
	const standInCount = 5 + options.ranks + options.plainServices;
	const nextPort = await createPortAllocator((daemonCount * PORTS_PER_DAEMON) + standInCount);
	const standIns = createStandIns(options, dir, nextPort);
	const {relayedPorts, ...daemons} = createDaemons(options, dir, nextPort, standIns);
	const relays = await Promise.all(relayedPorts.map(async ({listenPort, targetPort}) => startTcpRelay({port: listenPort}, targetPort)));
	const platform = [standIns.table, standIns.objects, standIns.instanceList, standIns.weightStore, standIns.rankGroup];
	const allDaemons = [...daemons.entries, ...daemons.engineAgents, ...daemons.plainAgents];

	const allStandIns = [...platform, ...standIns.engines, ...standIns.plainServices];
	try {
		await startAll([...platform, ...standIns.plainServices]);
		await startAll(standIns.engines);
		await standIns.instanceList.control('PUT', 'instances', {instances: allDaemons.map(daemon => daemon.instance)});
		await startAll(allDaemons);
	} catch (error) {
		await killAll([...allDaemons, ...allStandIns]);
		throw error;
	}

	return {
		options,
		dir,
		...standIns,
		...daemons,
		relays,
		waitAllReady: async () => waitAllReady(allDaemons),
		async close(beforePlatformStops) {
			const running = allDaemons.filter(daemon => daemon.pid() !== undefined);
			const exits = await Promise.all(running.map(async daemon => [daemon.name, await stopProcess(daemon)] as const));
			const callbackResult = await beforePlatformStops();
			await Promise.all(allStandIns.map(async standIn => stopProcess(standIn)));
			await Promise.all(relays.map(async relay => relay.close()));
			const uncleanExits = exits.filter(([, isClean]) => !isClean).map(([name]) => name);
			if (uncleanExits.length === 0) {
				await rm(dir, {recursive: true});
			}

			return {uncleanExits, callbackResult};
		},
	};
}
