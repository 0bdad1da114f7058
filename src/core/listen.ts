import type {Server} from 'node:net';
import {Server as HttpServer} from 'node:http';
import {describeError} from './describe-error.js';
import {fail, succeed, type Result} from './result.js';
import type {CleanUp} from './life-cycle.js';

/** An address as a host and a port. */
export type HostPort = Readonly<{host: string; port: number}>;

/** Splits `host:port`. */
export function parseHostPort(address: string): HostPort {
	const colon = address.lastIndexOf(':');
	return {host: address.slice(0, colon), port: Number(address.slice(colon + 1))};
}

/** Starts to listen on `host:port`. The value closes the server; the error is the system's code. */
export async function listenOn(server: Server, address: string): Promise<Result<CleanUp, string>> {
	return new Promise(resolve => {
		server.once('error', err => {
			resolve(fail(describeError(err)));
		});
		server.listen(parseHostPort(address), () => {
			resolve(succeed(async () => closeServer(server)));
		});
	});
}

async function closeServer(server: Server): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		if (server instanceof HttpServer) {
			server.closeAllConnections();
		}
	});
}
