import {createServer} from 'node:net';
import {invariant} from '../../src/core/invariant.js';

/** Finds `count` ports on loopback that are free now; all are held until the last is found, so that none repeats. */
export async function findFreePorts(count: number): Promise<readonly number[]> {
	const servers = Array.from({length: count}, () => createServer());
	const ports = await Promise.all(servers.map(async server => new Promise<number>(resolve => {
		server.listen(0, '127.0.0.1', () => {
			const address = server.address();
			invariant(address && typeof address === 'object', 'a TCP server has a port');
			resolve(address.port);
		});
	})));
	await Promise.all(servers.map(async server => new Promise(resolve => {
		server.close(resolve);
	})));
	return ports;
}
