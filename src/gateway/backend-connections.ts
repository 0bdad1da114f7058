/** Pool of keep-alive connections to backend servers; each carries one request at a time. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import {setImmediate} from 'node:timers';
import {buildConnector, Client, type Dispatcher} from 'undici';
import type {Clock} from '../core/clock.js';
import {describeError} from '../core/describe-error.js';
import {isSocketAddress} from '../core/host-port.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {RawHeaders} from '../ports/call-codec.js';
import {isEndedByConnection} from './answer-framing.js';
import {paceSocket, type SocketPace} from './paced-socket.js';
import {
	CONNECT_TIMEOUT_MILLIS, IDLE_MARGIN_MILLIS, MAX_OVERHEAD_BYTES, MAX_OVERHEAD_PER_BODY_BYTE, IDLE_TIMEOUT_MILLIS, AT_MOST_ONCE_MAX_IDLE_MILLIS, LATE_HEAD_TIMEOUT_MILLIS, LIVENESS_TIMEOUT_MILLIS,
} from './gateway-constants.js';

/** A request to a backend server. */
export type BackendRequest = Readonly<{
	method: string;
	path: string;
	headers: string[];
	body: Uint8Array;
	/** Whether a connection that was idle for long may be reused, although the peer may have closed it. */
	allowsLongIdleConnection: boolean;
	/** Maximum number of idle connections kept to the address. */
	maxIdleConnections: number;
}>;

/** Status and headers of an answer. */
export type ExchangeHead = Readonly<{
	status: number;
	headers: RawHeaders;
	/** Whether the body ends only when the connection is closed. */
	isEndedByConnection: boolean;
}>;

/** Callbacks of an exchange in the order of their events; `onEnd` is always called, and only `onLateHead` may follow it. */
export type ExchangeListener = Readonly<{
	/** Called just before the first byte is written. */
	onSent: () => void;
	/** Returning false aborts the exchange because the answer belongs to another request. */
	onHead: (head: ExchangeHead) => boolean;
	onData: (bytes: Uint8Array) => void;
	/** `error` is undefined after a complete answer. */
	onEnd: (error: string | undefined) => void;
	/** Called after `onEnd` if the headers arrive soon after the exchange was aborted: they were under way, and may say what concerns other requests. */
	onLateHead: (head: Pick<ExchangeHead, 'status' | 'headers'>) => void;
}>;

/** A request in flight. */
export type Exchange = Readonly<{
	/** Closes the connection, for sending only while the headers may still arrive; `onEnd` follows. */
	abort: (reason: string) => void;
	pause: () => void;
	resume: () => void;
}>;

/** Connections to all backend servers. */
export type BackendConnections = Readonly<{
	/** Never throws; an address that is none ends the exchange with an error. */
	send: (address: string, req: BackendRequest, listener: ExchangeListener) => Exchange;
	/** Closes the idle connections to an address. */
	closeIdleConnections: (address: string) => void;
	/** Whether the address accepts a connection, which is closed at once. */
	isListening: (address: string) => Promise<boolean>;
}>;

/** A client that has one connection at a time, and how that connection has ended so far. */
type Connection = Readonly<{client: Client; socket: SocketState}>;
type SocketState = {
	error: string | undefined;
	/** Whether the orderly end of the connection has been read. */
	hasEnded: boolean;
	/** Ends the sending side, so that the peer stops its work; false if written bytes would follow, which are better dropped. */
	tryHalfClose: () => boolean;
	/** Undefined until the connection is established. */
	pace: SocketPace | undefined;
	destroy: () => void;
	/** Called when what was received has been parsed; set by the exchange that uses the connection. */
	onParsed: () => void;
};
type IdleConnection = Connection & Readonly<{
	idleSinceMillis: number;
	/** Resolves once the turn of the event loop in which the answer ended is over. */
	turnEnd: Promise<void>;
}>;

/** Decodes raw headers; undici passes names and values alternately, as bytes. */
function decodeHeaders(headers: unknown): string[] {
	return Array.isArray(headers) ? headers.map(item => item instanceof Uint8Array ? Buffer.from(item).toString('latin1') : String(item)) : [];
}

/**
 * Whether a connection whose end was read has been reset. The event loop reports a reset that arrives together with bytes as an orderly end,
 * but the kernel no longer has a peer address then. Node.js caches the address, so nothing may read it earlier.
 */
function isReset(socket: Socket): boolean {
	return socket.remoteAddress === undefined;
}

/** An exchange that has failed before anything was sent; its end is reported once the caller has got it. */
function failUnsent(error: string, {onEnd}: ExchangeListener): Exchange {
	queueMicrotask(() => {
		onEnd(error);
	});
	return {abort: () => undefined, pause: () => undefined, resume: () => undefined};
}

/** Creates the connections of a process. */
export function createBackendConnections({clock, lifeCycle}: Readonly<{clock: Clock; lifeCycle: LifeCycle}>): BackendConnections {
	const idle = new Map<string, IdleConnection[]>();
	const connect = buildConnector({timeout: CONNECT_TIMEOUT_MILLIS});
	const openClients = new Set<Client>();
	lifeCycle.own('connections to backend servers', async () => {
		await Promise.all([...openClients].map(async client => client.destroy()));
	});

	function openConnection(address: string): Connection {
		const socket: SocketState = {
			error: undefined, hasEnded: false, tryHalfClose: () => false, pace: undefined, destroy: () => undefined, onParsed: () => undefined,
		};
		const client = new Client(`http://${address}`, {
			pipelining: 1,
			connect(options, callback) {
				socket.error = undefined;
				socket.hasEnded = false;
				socket.onParsed = () => undefined;
				connect(options, (...result) => {
					const [, opened] = result;
					if (opened) {
						socket.pace = paceSocket(opened, {
							clock,
							onParsed() {
								socket.onParsed();
							},
						});
						socket.destroy = () => {
							opened.destroy();
						};

						// Bytes may wait to be parsed after the end was read, and a reset meanwhile takes nothing back.
						const push = opened.push.bind(opened);
						opened.push = (chunk: unknown, ...rest) => {
							if (chunk === null) {
								socket.hasEnded = !isReset(opened);
							}

							return push(chunk, ...rest);
						};

						socket.tryHalfClose = () => {
							const hasUnsent = opened.writableLength > 0;
							if (!hasUnsent) {
								opened.end();
							}

							return !hasUnsent;
						};
					}

					// Undici treats an answer without a length as complete however its connection ends.
					opened?.once('error', err => {
						socket.error = describeError(err);
					});
					callback(...result);
				});
			},
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: IDLE_TIMEOUT_MILLIS,
			keepAliveTimeoutThreshold: IDLE_MARGIN_MILLIS,
		});
		openClients.add(client);
		return {client, socket};
	}

	function close(client: Client): void {
		if (openClients.delete(client)) {
			void client.destroy();
		}
	}

	/** Takes the most recently used idle connection or opens a new one; closes idle connections that have timed out. */
	function takeConnection(address: string, allowsLongIdle: boolean): Connection | IdleConnection {
		const kept = idle.get(address) ?? [];
		const nowMillis = clock.monotonicMillis();
		const maxIdleMillis = allowsLongIdle ? IDLE_TIMEOUT_MILLIS : AT_MOST_ONCE_MAX_IDLE_MILLIS;
		while (kept.length > 0) {
			const last = kept.at(-1);
			if (!last || nowMillis - last.idleSinceMillis > maxIdleMillis) {
				break;
			}

			kept.pop();
			if (!last.client.closed && !last.client.destroyed) {
				return last;
			}
		}

		while (kept[0] && nowMillis - kept[0].idleSinceMillis > IDLE_TIMEOUT_MILLIS) {
			const stale = kept.shift();
			if (stale) {
				close(stale.client);
			}
		}

		return openConnection(address);
	}

	function keepIdle(address: string, connection: Connection, maxIdleConnections: number): void {
		const kept = idle.get(address) ?? [];
		if (kept.length >= maxIdleConnections) {
			close(connection.client);
		} else if (!connection.client.closed && !connection.client.destroyed) {
			const turnEnd = new Promise<void>(resolve => {
				setImmediate(resolve);
			});
			idle.set(address, [...kept, {...connection, idleSinceMillis: clock.monotonicMillis(), turnEnd}]);
		}
	}

	/** Separate from the pool's: a crashed process refuses at once, and nobody should wait long for a silent one. */
	const connectProbe = buildConnector({timeout: LIVENESS_TIMEOUT_MILLIS});

	return {
		async isListening(address) {
			if (!isSocketAddress(address)) {
				return false;
			}

			const {hostname, port} = new URL(`http://${address}`);
			return new Promise(resolve => {
				connectProbe({hostname, port, protocol: 'http:'}, (error, socket) => {
					socket?.destroy();
					resolve(error === null);
				});
			});
		},
		send(address, req, listener) {
			if (!isSocketAddress(address)) {
				return failUnsent(`not an address: ${address}`, listener);
			}

			const connection = takeConnection(address, req.allowsLongIdleConnection);
			const {client, socket} = connection;
			let controller: Dispatcher.DispatchController | undefined;
			let abortReason: string | undefined;
			let hasEnded = false;
			let hasHead = false;
			/** Whether the exchange has ended, and the connection is only kept to read late headers. */
			let isAbandoned = false;
			let endsWithConnection = false;
			let bodyBytes = 0;
			/** Bytes parsed on the connection when the request was written. */
			let parsedBefore = 0;

			/** Why an answer that undici reports as complete may be truncated; undefined if it is complete. */
			function findEndError(): string | undefined {
				return endsWithConnection && !socket.hasEnded ? 'connection closed without an orderly end' : socket.error;
			}

			/** Gives up a backend server that sends bytes without end that are no part of a body, as they reach no callback. */
			function checkOverhead(): void {
				const overheadBytes = (socket.pace?.readParsedBytes() ?? 0) - parsedBefore - bodyBytes;
				if (overheadBytes > MAX_OVERHEAD_BYTES + (bodyBytes * MAX_OVERHEAD_PER_BODY_BYTE)) {
					abort(`${overheadBytes} bytes besides ${bodyBytes} bytes of a body`);
				}
			}

			/** Closes an idle connection on which anything arrives. */
			function watchIdle(): void {
				const parsedBytes = socket.pace?.readParsedBytes();
				socket.onParsed = () => {
					if (socket.pace?.readParsedBytes() !== parsedBytes) {
						socket.destroy();
					}
				};
			}

			function finish(error: string | undefined): void {
				if (hasEnded) {
					closeIfAbandoned();
					return;
				}

				hasEnded = true;
				watchIdle();
				socket.pace?.resume();
				if (error === undefined) {
					keepIdle(address, connection, req.maxIdleConnections);
				} else {
					close(client);
				}

				listener.onEnd(error);
			}

			/** Ends the exchange at once and reads on for a short time, as the headers may be under way. */
			async function awaitLateHead(reason: string): Promise<void> {
				hasEnded = true;
				isAbandoned = true;
				listener.onEnd(reason);
				await clock.sleep(LATE_HEAD_TIMEOUT_MILLIS, lifeCycle.signal);
				closeIfAbandoned();
			}

			function closeIfAbandoned(): void {
				if (isAbandoned) {
					close(client);
				}
			}

			function abort(reason: string): void {
				if (hasEnded) {
					closeIfAbandoned();
				} else if (abortReason === undefined) {
					abortReason = reason;
					if (!controller) {
						close(client);
					} else if (!hasHead && socket.tryHalfClose()) {
						void awaitLateHead(reason);
					} else {
						controller.abort(new Error(reason));
					}
				}
			}

			const handler: Dispatcher.DispatchHandler = {
				onRequestStart(started) {
					controller = started;
					parsedBefore = socket.pace?.readParsedBytes() ?? 0;
					socket.onParsed = checkOverhead;
					listener.onSent();
				},
				onResponseStart(started, status) {
					if (status < 200) {
						return;
					}

					hasHead = true;
					const headers = decodeHeaders(started.rawHeaders);
					if (isAbandoned) {
						listener.onLateHead({status, headers});
						closeIfAbandoned();
						return;
					}

					endsWithConnection = isEndedByConnection(req.method, status, headers);
					if (!listener.onHead({status, headers, isEndedByConnection: endsWithConnection})) {
						abort('the answer belongs to another request');
					}
				},
				onResponseData(_started, bytes) {
					bodyBytes += bytes.length;
					if (abortReason === undefined) {
						listener.onData(bytes);
					}
				},
				onResponseEnd() {
					finish(abortReason ?? findEndError());
				},
				onResponseError(_started, error) {
					finish(abortReason ?? describeError(error));
				},
			};

			function dispatch(): void {
				client.dispatch({
					method: req.method, path: req.path, headers: req.headers, body: req.body.length > 0 ? req.body : null,
				}, handler);
			}

			// The client looks for what has arrived on an idle connection until the turn ends, which says nothing in the turn of the former answer.
			if ('turnEnd' in connection) {
				void connection.turnEnd.then(dispatch);
			} else {
				dispatch();
			}

			return {
				abort,
				pause() {
					if (!hasEnded) {
						socket.pace?.pause();
					}
				},
				resume() {
					if (!hasEnded) {
						socket.pace?.resume();
					}
				},
			};
		},
		closeIdleConnections(address) {
			for (const {client} of idle.get(address) ?? []) {
				close(client);
			}

			idle.delete(address);
		},
	};
}
