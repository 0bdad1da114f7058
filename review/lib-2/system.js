/** Runs the gateways with the command of the deploy file, each on a loopback address of its own. */
import {spawn} from 'node:child_process';
import {
	closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
/** Fixed by the deploy file. */
const METRICS_PORT = 9464;
const READY_TIMEOUT_MILLIS = 20_000;

/** Bounds of the sheet of `ppa-ops`. */
export const BOUNDS = {
	SeedLagS: 3,
	ReuseAfterS: 2,
	StableWindowMs: 3000,
	AckMs: 4000,
	CatchUpS: 4,
	DrainMs: 2000,
	GraceS: 8,
	LossSlackMs: 200,
	ConfigApplyMs: 2000,
	RollbackSlackMs: 250,
	MaxSkewMs: 5000,
	StrictRevoke: false,
	RevokeMs: 5000,
	RetryBudgetRatio: 0.2,
	BudgetWindowS: 10,
	RetryBudgetExtra: 88,
	RecoverS: 12,
	PassMs: 120,
	RetryAfterS: 0,
	RequireFence: false,
	...Object.fromEntries([['stall_ms', 1500], ['ttl_max_s', 5]]),
};

/** Error of the test itself, as opposed to a broken rule. */
export const createCannotRun = message => new Error(message);

async function canListen(host, port) {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, host, () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

async function findFreePort(host) {
	return new Promise((resolve, reject) => {
		const server = createServer();
		server.once('error', reject);
		server.listen(0, host, () => {
			const {port} = server.address();
			server.close(() => {
				resolve(port);
			});
		});
	});
}

/** Finds loopback addresses on which the port for metrics is free. */
async function findHosts(count) {
	for (let i = 0; i < 40; i++) {
		const network = 60 + ((process.pid + (i * 7)) % 180);
		const hosts = Array.from({length: count}, (_, j) => `127.${network}.${j + 1}.1`);
		// eslint-disable-next-line no-await-in-loop -- One network after the other.
		const free = await Promise.all(hosts.map(async host => canListen(host, METRICS_PORT)));
		if (free.every(Boolean)) {
			return hosts;
		}
	}

	throw createCannotRun('no loopback addresses with a free port for metrics');
}

/** Prepares `count` gateways; none runs yet. */
export async function prepareGateways({store, count, bounds = BOUNDS}) {
	const dir = mkdtempSync(path.join(tmpdir(), 'review-2-'));
	const hosts = await findHosts(count);
	const ports = {
		front: await findFreePort(hosts[0]), ready: await findFreePort(hosts[0]), directory: await findFreePort(hosts[0]), gossip: await findFreePort(hosts[0]),
	};
	const gateways = hosts.map((host, i) => createGateway({
		name: `front-${i + 1}`, host, ports, dir, store, bounds, zone: `zone-${'abc'[i % 3]}`,
	}));
	return {
		gateways,
		async close() {
			await Promise.all(gateways.map(async gateway => gateway.kill()));
			rmSync(dir, {recursive: true, force: true});
		},
	};
}

function createGateway({name, host, ports, dir, store, bounds, zone}) {
	const front = `${host}:${ports.front}`;
	const ready = `${host}:${ports.ready}`;
	const directory = `${host}:${ports.directory}`;
	const file = path.join(dir, `${name}.json`);
	const logFile = path.join(dir, `${name}.log`);
	writeFileSync(file, JSON.stringify({
		NodeName: name,
		Role: 'gateway',
		MachineClass: 'front',
		Serves: ['front', 'directory'],
		Ip: host,
		Zone: zone,
		Region: 'region',
		Zones: {'zone-a': 'region', 'zone-b': 'region', 'zone-c': 'region'},
		Listen: {Front: front, Ready: ready, Directory: directory},
		PortRange: [ports.gossip, ports.gossip + 15],
		Seeds: [],
		Bootstrap: true,
		LossCounts: false,
		Limits: {
			CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4200, LinkMbps: 1000, DiskMb: 0,
		},
		DataDir: null,
		Discovery: 'platform',
		Entry: 'directory',
		BeatIntervalMs: 1200,
		Bounds: bounds,
		Provider: {Address: store.address, form: 'table'},
	}));
	let child;
	let ended = Promise.resolve();
	let startedAtMillis = -Infinity;

	async function isReady() {
		try {
			const res = await fetch(`http://${ready}/ready`, {signal: AbortSignal.timeout(1000)});
			await res.arrayBuffer();
			return res.status === 200;
		} catch {
			return false;
		}
	}

	return {
		name,
		front,
		directory,
		/** Time of its last start; a machine is in touch `StableWindowMs` later at the earliest. */
		readStartMillis: () => startedAtMillis,
		start() {
			const log = openSync(logFile, 'a');
			startedAtMillis = Date.now();
			child = spawn('node', ['--max-old-space-size=160', 'target/bundle/main.js'], {
				cwd: ROOT,
				env: {
					PATH: process.env.PATH, HOME: process.env.HOME, LANG: 'C.UTF-8', POLLENPORT_CONFIG: file,
				},
				stdio: ['ignore', log, log],
			});
			closeSync(log);
			ended = new Promise(resolve => {
				child.once('exit', (code, signal) => {
					resolve({code, signal});
				});
			});
		},
		async waitReady() {
			for (const untilMillis = Date.now() + READY_TIMEOUT_MILLIS; Date.now() < untilMillis;) {
				// eslint-disable-next-line no-await-in-loop -- Polls.
				if (await isReady()) {
					return;
				}

				// eslint-disable-next-line no-await-in-loop -- Polls.
				await sleep(50);
			}

			throw createCannotRun(`${name} did not become ready:\n${readFileSync(logFile, 'utf8').slice(-2000)}`);
		},
		/** Asks its directory for addresses; undefined if it gives none. */
		async resolve() {
			try {
				const res = await fetch(`http://${directory}/resolve?Name=desk.example&Region=region&Zone=${zone}`, {signal: AbortSignal.timeout(1000)});
				const body = res.status === 200 ? await res.json() : undefined;
				return body?.Addresses;
			} catch {
				return undefined;
			}
		},
		isRunning: () => child !== undefined && child.exitCode === null && child.signalCode === null,
		signal(name) {
			child?.kill(name);
		},
		async stop() {
			child?.kill('SIGTERM');
			return ended;
		},
		async kill() {
			child?.kill('SIGCONT');
			child?.kill('SIGKILL');
			return ended;
		},
		readLog: () => readFileSync(logFile, 'utf8').split('\n').filter(line => line.startsWith('{')).map(line => JSON.parse(line)),
	};
}

export const HOST = 'desk.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';
export const TENANT = 'hule930';

/** A configuration with the given routes and services. */
export function createConfiguration({version, routes, services}) {
	return {
		Version: version,
		Routes: routes.map(route => ({Host: HOST, Priority: 1, ...route})),
		Services: services,
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: TENANT, ApiKeys: [KEY]}],
	};
}
