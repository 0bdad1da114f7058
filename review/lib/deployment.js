/* eslint-disable camelcase -- Names of the platform. */
/** A small deployment: the project's own gateways as the deploy file starts them, with stand-ins for the store and the engines. */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {
	mkdtempSync, openSync, readFileSync, rmSync, writeFileSync,
} from 'node:fs';
import {request} from 'node:http';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createServer} from 'node:net';
import {listen, startProxy} from './net.js';
import {startStore} from './store.js';
import {startEngine} from './engine.js';

const ROOT = path.resolve(import.meta.dirname, '..', '..');
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const BEAT_MILLIS = 1200;
const READY_TIMEOUT_MILLIS = 20_000;

export const HOST = 'desk.example';
export const KEY = 'key-of-desk';
/** Bounds of `sites/ppa-ops`. */
export const BOUNDS = {
	SeedLagS: 3, ReuseAfterS: 2, StableWindowMs: 3000, AckMs: 4000, CatchUpS: 4, DrainMs: 2000, GraceS: 8, LossSlackMs: 200, ConfigApplyMs: 2000, RollbackSlackMs: 250,
	MaxSkewMs: 5000, StrictRevoke: false, RevokeMs: 5000, RetryBudgetRatio: 0.2, BudgetWindowS: 10, RetryBudgetExtra: 88, RecoverS: 12, PassMs: 120, RetryAfterS: 0, stall_ms: 1500,
	RequireFence: false, ttl_max_s: 5,
};

/** The command of a role in the deploy file. */
function readCommand(role) {
	const text = readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
	const section = text.slice(text.indexOf(`[roles.${role}]`));
	return /^run = "(?<run>[^"]+)"/mv.exec(section).groups.run.split(' ');
}

/** Figures of the model engines of `sites/ppa-ops`, without experts. */
const ENGINE = {
	Slots: 8, Stride: 4, KvCapacity: 186_666, step_ms: 4.55, per_seq_ms: 0.3, read_per_s: 61_400, chunk: 512, LinkMbps: 1000, usual: {prompt: 800, answer: 96},
};

/** Routes and services like those of `sites/ppa-ops`; `more` is merged into the routes by name. */
export function createConfiguration(version, {keys = [KEY], routes = {}} = {}) {
	const stream = {
		Host: HOST, Kind: 'streaming', Resumable: true, Sticky: true, TimeoutMs: 8000, TargetLatencyMs: 500, GapTargetMs: 120, Priority: 1, MaxAttempts: 2, Service: 'llm',
	};
	const plain = {
		Host: HOST, TimeoutMs: 1500, TargetLatencyMs: 385, Priority: 2, MaxAttempts: 2, Service: 'app',
	};
	return {
		Version: version,
		Routes: [
			{
				...stream, Name: 'draft', Prefix: '/draft/', ...routes.draft,
			},
			{
				...plain, Name: 'post', Prefix: '/post/', Kind: 'non_idempotent', ...routes.post,
			},
			{
				...plain, Name: 'read', Prefix: '/read/', Kind: 'idempotent', ...routes.read,
			},
		],
		Services: [
			{
				Name: 'llm', HealthPath: '/health', MaxConns: 248, Engine: ENGINE,
			},
			{Name: 'app', HealthPath: '/health', MaxConns: 96},
			{Name: 'app-2', HealthPath: '/health', MaxConns: 96},
		],
		Limits: {
			MaxHeaderBytes: 16_384, MaxBodyBytes: 4_194_304, HeaderTimeoutMs: 5000, IdleTimeoutMs: 15_000,
		},
		Tenants: [{Name: 'desk', ApiKeys: keys}],
	};
}

async function get(address, target) {
	const [hostname, port] = address.split(':');
	return new Promise(resolve => {
		const req = request({
			hostname, port, path: target, agent: false, timeout: 1000,
		}, res => {
			let body = '';
			res.on('data', bytes => {
				body += bytes;
			});
			res.on('end', () => {
				resolve({status: res.statusCode, body});
			});
			res.on('error', () => {
				resolve({status: 0, body});
			});
		});
		req.on('timeout', () => req.destroy());
		req.on('error', () => {
			resolve({status: 0, body: ''});
		});
		req.end();
	});
}

/** Draws a network that no other run uses. */
async function findNetwork() {
	for (let i = 0; i < 100; i++) {
		const network = `127.${20 + Math.floor(Math.random() * 200)}`;
		const probe = createServer();
		try {
			// eslint-disable-next-line no-await-in-loop -- One network after the other.
			await listen(probe, `${network}.1.1`, 8227);
			probe.close();
			return network;
		} catch {
			// Another run uses it.
		}
	}

	throw new Error('no free loopback network');
}

/** Starts the deployment. `engines`: by id, the service and what it does with a request. */
export async function startDeployment({gateways: count = 6, engines: plans, routes, record}) {
	const dir = mkdtempSync(path.join(tmpdir(), 'review-'));
	const network = await findNetwork();
	const store = await startStore(`${network}.2.1`, {givesLastChanges: process.env.FEED === 'last'});
	const ended = new AbortController();
	const engines = [];
	let seq = 0;

	const gone = new Set();
	function beat({id, address}, {service, slots, zone}) {
		if (gone.has(id)) {
			return;
		}

		seq++;
		store.put('servers', id, {
			Service: service, Address: address, Zone: zone, Version: 'v1', Slots: slots, State: 'ready', Seq: seq, ColdLeftMs: 0, born: startedAt,
		});
	}

	const startedAt = Date.now();
	for (const [i, plan] of plans.entries()) {
		const full = {slots: 8, zone: ZONES[i % ZONES.length], ...plan};
		// eslint-disable-next-line no-await-in-loop -- The order of the addresses is that of the plans.
		const engine = await startEngine({id: plan.id, host: `${network}.3.${i + 1}`, run: plan.run});
		engines.push(engine);
		beat(engine, full);
		// The engines don't beat all at the same moment.
		setTimeout(() => {
			setInterval(() => {
				beat(engine, full);
			}, BEAT_MILLIS).unref();
		}, BEAT_MILLIS * i / plans.length).unref();
	}

	store.put('op', 'config', createConfiguration(1, {routes}));

	const gateways = [];
	for (let i = 0; i < count; i++) {
		const ip = `${network}.1.${i + 1}`;
		const name = `front-${i + 1}`;
		// eslint-disable-next-line no-await-in-loop -- As above.
		const proxy = await startProxy(`${network}.4.${i + 1}`, `${network}.2.1`, store.port);
		const file = path.join(dir, `${name}.json`);
		writeFileSync(file, JSON.stringify({
			NodeName: name,
			Role: 'gateway',
			MachineClass: 'front',
			Serves: ['front', 'directory'],
			Ip: ip,
			Zone: ZONES[i % ZONES.length],
			Region: 'region',
			Zones: Object.fromEntries(ZONES.map(zone => [zone, 'region'])),
			Listen: {Front: `${ip}:8227`, Ready: `${ip}:8220`, Directory: `${ip}:8224`},
			PortRange: [7340, 7355],
			Seeds: [],
			Bootstrap: true,
			LossCounts: false,
			Limits: {
				CpuShare: 0.675, Cores: 1, MemoryMb: 350, MaxFds: 4200, LinkMbps: 1000, DiskMb: 0,
			},
			DataDir: null,
			Discovery: 'platform',
			Entry: 'directory',
			BeatIntervalMs: BEAT_MILLIS,
			Contracts: ['base', 'drain', 'config', 'cost', 'retry', 'recover', 'engine', 'stream', 'tenants', 'platform', 'experts'],
			Tolerate: {Machines: 2, Zones: 0, Regions: 0},
			Bounds: BOUNDS,
			Provider: {
				Address: proxy.address, form: 'table', WritesPerS: 400, ReadsPerS: 2000, TxMs: 4, PartitionWritesS: 250, RowBytes: 65_536,
				Across: true, HistoryS: 20, BlobBytes: 8_388_608, BlobMs: 25, BlobMbS: 80,
			},
		}));
		const [program, ...args] = readCommand('gateway');
		const log = openSync(path.join(dir, `${name}.log`), 'a');
		const child = spawn(program, args, {
			cwd: ROOT, env: {PATH: process.env.PATH, HOME: process.env.HOME, POLLENPORT_CONFIG: file}, stdio: ['ignore', log, log],
		});
		process.once('exit', () => {
			child.kill('SIGKILL');
		});
		gateways.push({
			name, child, proxy, front: `${ip}:8227`, ready: `${ip}:8220`, directory: `${ip}:8224`, log: path.join(dir, `${name}.log`),
		});
	}

	const isReady = async ({ready}) => {
		const {status} = await get(ready, '/ready');
		return status === 200;
	};

	/** Addresses that a gateway names to callers. */
	async function resolve({directory}) {
		const {status, body} = await get(directory, `/resolve?Name=${HOST}&Region=region&Zone=${ZONES[0]}`);
		return status === 200 ? JSON.parse(body).Addresses : [];
	}

	async function namesAll(gateway) {
		const addresses = await resolve(gateway);
		return addresses.length === count;
	}

	async function waitReady() {
		const dueMillis = performance.now() + READY_TIMEOUT_MILLIS;
		for (const gateway of gateways) {
			/* eslint-disable no-await-in-loop -- Polls one gateway after the other. */
			while (!await isReady(gateway) || !await namesAll(gateway)) {
				if (performance.now() > dueMillis) {
					throw new Error(`${gateway.name} is not ready: ${readFileSync(gateway.log, 'utf8').slice(-500)}`);
				}

				await sleep(50);
			}
			/* eslint-enable no-await-in-loop */
		}
	}

	async function close() {
		ended.abort();
		await Promise.all(gateways.map(async ({child, proxy}) => {
			if (child.exitCode === null && child.signalCode === null) {
				child.kill('SIGKILL');
				await once(child, 'exit');
			}

			proxy.close();
		}));
		for (const engine of engines) {
			engine.close();
		}

		store.close();
		rmSync(dir, {recursive: true, force: true});
	}

	try {
		await waitReady();
	} catch (error) {
		await close();
		throw error;
	}

	record(`ready: ${count} gateways, ${engines.length} engines`);
	return {
		store,
		engines,
		gateways,
		resolve,
		isReady,
		close,
		/** Removes the entry of an engine that never reports that it drains, this long after its last beat. It goes on serving. */
		async removeEntry(id, afterBeatMillis) {
			beat(engines.find(engine => engine.id === id), {...plans.find(plan => plan.id === id), slots: 6, zone: ZONES[0]});
			gone.add(id);
			await sleep(afterBeatMillis);
			store.remove('servers', id);
		},
	};
}
