import {createServer, type Server} from 'node:net';
import process from 'node:process';
import {invariant} from '../../src/core/invariant.js';
import {listenOn} from '../../src/core/listen-on.js';

/** First port of all ranges; all ranges are below the ephemeral ports that the operating system gives to outgoing connections. */
const FIRST_PORT = 10_000;
/** Ports of a range. */
const RANGE_SIZE = 100;
/** Number of ranges. */
const RANGE_COUNT = 200;

let claimedRange: Promise<number> | undefined;

/** First port of the range that the process with this id tries first. */
export function firstPortOfRange(processId: number): number {
	return FIRST_PORT + ((processId % RANGE_COUNT) * RANGE_SIZE);
}

/** Listens on a port; undefined if it is in use. */
async function tryListen(port: number): Promise<Server | undefined> {
	const server = createServer();
	const listening = await listenOn(server, `127.0.0.1:${port}`);
	return listening.ok ? server : undefined;
}

async function isFree(port: number): Promise<boolean> {
	const server = await tryListen(port);
	server?.close();
	return server !== undefined;
}

/** Claims a range by listening on its first port until the process ends, so that processes never share a range. */
async function claimRange(): Promise<number> {
	/* eslint-disable no-await-in-loop -- The next range is tried only if this one is taken. */
	for (let i = 0; i < RANGE_COUNT; i++) {
		const first = firstPortOfRange(process.pid + i);
		const server = await tryListen(first);
		if (server) {
			server.unref();
			return first;
		}
	}
	/* eslint-enable no-await-in-loop */

	invariant(false, 'no range of loopback ports is left');
}

/** Finds `count` loopback ports that are free now, in the range of this process. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	claimedRange ??= claimRange();
	const first = await claimedRange;
	const range = Array.from({length: RANGE_SIZE - 1}, (_, i) => first + 1 + i);
	const free = await Promise.all(range.map(async port => isFree(port)));
	const ports = range.filter((_, i) => free[i]).slice(0, count);
	invariant(ports.length === count, `fewer than ${count} free loopback ports in the range from ${first}`);
	return ports;
}
