import {once} from 'node:events';
import type {Server} from 'node:net';
import {describeError} from './describe-error.js';
import type {ListenError} from './listen-error.js';
import {fail, succeed, type Result} from './result.js';

export type HostPort = Readonly<{host: string; port: number}>;

/** Splits `host:port`. */
export function parseHostPort(address: string): HostPort {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

/** Starts to listen on `host:port`; port 0 selects a free port. The value is the port in use. */
export async function listenOn(server: Server, address: string): Promise<Result<number, ListenError>> {
	const {host, port} = parseHostPort(address);
	server.listen(port, host);
	try {
		await once(server, 'listening');
	} catch (error) {
		return fail({tag: 'listen_failed', address, detail: describeError(error)});
	}

	const bound = server.address();
	return succeed(typeof bound === 'object' && bound ? bound.port : 0);
}
