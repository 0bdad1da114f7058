import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {invariant} from '../../src/core/invariant.js';
import {listenOn} from '../../src/core/listen-on.js';

/** Direction of the bytes that a relay drops. */
export type SilentWay = 'none' | 'requests' | 'answers' | 'both';

/** A TCP relay that injects network faults. It simulates a device on the path that may lose the state of connections. */
export type TcpRelay = Readonly<{
	/** Address that it listens on, as `IP:port`. */
	address: string;
	/** Drops all further bytes of the connections that are open now, even after `heal`; new ones work. */
	silenceOpen: () => void;
	/** Closes open connections, and resets new ones until `heal`. */
	cut: () => void;
	/** Drops the bytes of one direction or of both, on open and on new connections, until `heal`. */
	silence: (direction: SilentWay) => void;
	/** Delays all bytes by this many milliseconds until `heal`. */
	delay: (millis: number) => void;
	/** Resets open connections; new ones work. */
	resetOpen: () => void;
	heal: () => void;
	close: () => Promise<void>;
}>;

type RelayedConnection = {readonly targetSocket: Socket; readonly clientSocket: Socket; isSilent: boolean};

const LOOPBACK = '127.0.0.1';
const MILLIS_PER_SECOND = 1000;

function destroySockets({targetSocket, clientSocket}: RelayedConnection): void {
	targetSocket.destroy();
	clientSocket.destroy();
}

/** Address that a relay listens on; port 0 takes a free port. */
export type RelayListenAddress = Readonly<{host?: string; port: number}>;

/** Properties of the simulated link; by default it is fast and relays to loopback. */
export type RelayLink = Readonly<{targetHost?: string; delayMillis?: number; bytesPerSecond?: number; bufferBytes?: number}>;

/** Relays connections from the given address, by default on loopback, to `targetPort`. */
export async function startTcpRelay({host = LOOPBACK, port}: RelayListenAddress, targetPort: number, link: RelayLink = {}): Promise<TcpRelay> {
	const {targetHost = LOOPBACK, delayMillis: linkDelayMillis = 0, bytesPerSecond = Infinity, bufferBytes = Infinity} = link;
	const connections = new Set<RelayedConnection>();
	let isCut = false;
	let silencedDirection: SilentWay = 'none';
	let delayMillis = linkDelayMillis;

	/** Forwards bytes in order, each chunk after the delay in effect when it arrives. */
	function forward(connection: RelayedConnection, from: Socket, to: Socket, direction: SilentWay): void {
		// Timers alone do not keep the order: each counts from the time at which the event loop last read the clock.
		let queue: ReadonlyArray<Readonly<{dueMillis: number; action: () => void}>> = [];
		let queuedBytes = 0;
		let isFreeAtMillis = 0;
		const flush = () => {
			const nowMillis = performance.now();
			while (queue[0] && queue[0].dueMillis <= nowMillis) {
				const [first, ...rest] = queue;
				queue = rest;
				first?.action();
			}

			if (queue[0]) {
				setTimeout(flush, queue[0].dueMillis - nowMillis);
			}
		};

		const schedule = (action: () => void, bytes = 0) => {
			isFreeAtMillis = Math.max(isFreeAtMillis, performance.now()) + (bytes / bytesPerSecond * MILLIS_PER_SECOND);
			const dueMillis = Math.max(queue.at(-1)?.dueMillis ?? 0, isFreeAtMillis + delayMillis);
			queue = [...queue, {dueMillis, action}];
			if (queue.length === 1) {
				flush();
			}
		};

		const readWhileRoom = () => {
			if (queuedBytes + to.writableLength < bufferBytes) {
				from.resume();
			} else {
				from.pause();
			}
		};

		const isSilent = () => connection.isSilent || silencedDirection === direction || silencedDirection === 'both';
		from.on('data', bytes => {
			if (!isSilent()) {
				queuedBytes += bytes.length;
				schedule(() => {
					queuedBytes -= bytes.length;
					to.write(bytes, readWhileRoom);
					readWhileRoom();
				}, bytes.length);
				readWhileRoom();
			}
		});
		from.on('end', () => {
			if (!isSilent()) {
				schedule(() => {
					to.end();
				});
			}
		});
		// What was received before the connection closed is still delivered.
		from.on('close', () => {
			schedule(() => {
				to.destroySoon();
			});
		});
	}

	function resetOpen(): void {
		for (const connection of connections) {
			connection.clientSocket.resetAndDestroy();
			connection.targetSocket.resetAndDestroy();
		}
	}

	const server = createServer({allowHalfOpen: true}, clientSocket => {
		if (isCut) {
			clientSocket.resetAndDestroy();
			return;
		}

		const targetSocket = connect({host: targetHost, port: targetPort, allowHalfOpen: true});
		const connection: RelayedConnection = {targetSocket, clientSocket, isSilent: false};
		connections.add(connection);
		for (const socket of [targetSocket, clientSocket]) {
			socket.on('error', () => {
				socket.destroy();
			});
			socket.on('close', () => {
				if (targetSocket.destroyed && clientSocket.destroyed) {
					connections.delete(connection);
				}
			});
		}

		forward(connection, clientSocket, targetSocket, 'requests');
		forward(connection, targetSocket, clientSocket, 'answers');
	});
	const listening = await listenOn(server, `${host}:${port}`);
	invariant(listening.ok, 'the TCP relay could not listen');

	return {
		address: `${host}:${listening.value}`,
		silenceOpen() {
			for (const connection of connections) {
				connection.isSilent = true;
			}
		},
		cut() {
			isCut = true;
			for (const connection of connections) {
				destroySockets(connection);
			}
		},
		silence(direction) {
			silencedDirection = direction;
		},
		delay(millis) {
			delayMillis = millis;
		},
		resetOpen,
		heal() {
			isCut = false;
			silencedDirection = 'none';
			delayMillis = linkDelayMillis;
		},
		async close() {
			for (const connection of connections) {
				destroySockets(connection);
			}

			server.close();
			await once(server, 'close');
		},
	};
}
