import {createServer} from 'node:net';
import process from 'node:process';
import {invariant} from '../../src/core/invariant.js';

/** First port of all ranges; below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 10_000;
/** Ports set aside for one process of this tool. */
const RANGE_SIZE = 100;
/** Ranges; processes that run at the same time have ids close together, and so different ranges. */
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

/** Finds `count` ports on loopback that are free now, in a range that no other running process of this tool uses. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const first = FIRST_PORT + ((process.pid % RANGE_COUNT) * RANGE_SIZE);
	const range = Array.from({length: RANGE_SIZE}, (_, i) => first + i);
	const free = await Promise.all(range.map(async port => isFree(port)));
	const ports = range.filter((_, i) => free[i]).slice(0, count);
	invariant(ports.length === count, `${count} ports from ${first} on are free`);
	return ports;
}
