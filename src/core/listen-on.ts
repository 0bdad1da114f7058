import {once} from 'node:events';
import type {Server} from 'node:net';
import {describeError} from './describe-error.js';
import type {EarlyListener} from './early-listener.js';
import {parseHostPort} from './host-port.js';
import type {ListenError} from './listen-error.js';
import {fail, succeed, type Result} from './result.js';

/** Starts to listen on `host:port`, which `early` may have bound already; port 0 selects a free port. The value is the port in use. */
export async function listenOn(server: Server, address: string, early?: EarlyListener): Promise<Result<number, ListenError>> {
	const {host, port} = parseHostPort(address);
	try {
		const listening = once(server, 'listening');
		if (early) {
			early.handOver(server);
		} else {
			server.listen(port, host);
		}

		await listening;
	} catch (error) {
		return fail({tag: 'listen_failed', address, detail: describeError(error)});
	}

	const bound = server.address();
	return succeed(typeof bound === 'object' && bound ? bound.port : 0);
}
