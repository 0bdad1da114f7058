/**
 * Accepts connections while the modules of a process are still being loaded, which takes some tenths of a second on a small instance. Without it,
 * callers that connect meanwhile are refused, and most of them try no second time.
 */
import {createServer, type Server, type Socket} from 'node:net';
import type {HostPort} from './host-port.js';

/** A bound address whose connections wait for the server that will serve them. */
export type EarlyListener = Readonly<{
	/** Lets the server listen on the address, and passes the connections that wait on to it. */
	handOver: (server: Server) => void;
}>;

/** Starts to listen; resolves to undefined if the address cannot be used, which the server then finds out itself. */
export async function listenEarly({host, port}: HostPort): Promise<EarlyListener | undefined> {
	const waiting = new Set<Socket>();
	// As HTTP servers do, so that connections that wait are no different from later ones.
	const listener = createServer({allowHalfOpen: true, noDelay: true, pauseOnConnect: true}, socket => {
		waiting.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			waiting.delete(socket);
		});
	});
	return new Promise(resolve => {
		listener.once('error', () => {
			resolve(undefined);
		});
		listener.listen(port, host, () => {
			resolve({
				handOver(server) {
					server.listen(listener);
					for (const socket of waiting) {
						server.emit('connection', socket);
						socket.resume();
					}

					waiting.clear();
				},
			});
		});
	});
}
