import {createServer} from 'node:net';
import process from 'node:process';
import {invariant} from '../../src/core/invariant.js';

/** First port of all ranges; all ranges are below the ephemeral ports that the operating system gives to outgoing connections. */
const FIRST_PORT = 10_000;
/** Ports reserved for one process of this tool. */
const RANGE_SIZE = 100;
/** Number of ranges. Processes that run at the same time have process ids close together, and so get different ranges. */
const RANGE_COUNT = 200;

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}

/** Finds `count` loopback ports that are free now, in the range of this process. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const first = FIRST_PORT + ((process.pid % RANGE_COUNT) * RANGE_SIZE);
	const range = Array.from({length: RANGE_SIZE}, (_, i) => first + i);
	const free = await Promise.all(range.map(async port => isFree(port)));
	const ports = range.filter((_, i) => free[i]).slice(0, count);
	invariant(ports.length === count, `fewer than ${count} free loopback ports in the range from ${first}`);
	return ports;
}
