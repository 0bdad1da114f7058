/**
 * Connections of an HTTP server. They are closed only when every answer has been sent, and in a way that does not discard what the peer has not
 * received yet. Node.js takes an answer that has been ended for one that has been sent, and runs the requests of a connection side by side, also
 * those that follow the one whose answer closes it.
 */
import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {setImmediate} from 'node:timers';
import type {Clock} from '../core/clock.js';

/** A request and its answer. */
export type HttpExchange = Readonly<{
	/** Aborts when the connection is closed before the answer has been sent in full. */
	disconnectSignal: AbortSignal;
	/**
	 * Resolves to true once all earlier requests on the connection have been answered, and to false if the connection closes without an answer to this
	 * one, which must not run then.
	 */
	waitForTurn: () => Promise<boolean>;
	/** Whether the connection is to be closed after this answer; to be asked when its head is written. */
	isLast: () => boolean;
}>;

/** How an exchange ended. */
export type ExchangeEnd
	/** The operating system has taken all bytes of the answer. */
	= 'sent'
	/** The connection was closed before. */
		| 'closed';

/** Connections of one server. */
export type HttpConnections = Readonly<{
	/** Adds a request that the server has received; `onEnd` is called once, with how its answer has ended. */
	add: (req: IncomingMessage, res: ServerResponse, onEnd?: (end: ExchangeEnd) => void) => HttpExchange;
	/** From now on closes each connection after the answer to the last request that has arrived on it. */
	disableKeepAlive: () => void;
	/** Number of requests whose answers have not been sent in full. */
	countOpenExchanges: () => number;
	/** Number of connections on which a part of a request has been received, and no other one is open. */
	countReceiving: () => number;
	/** Number of connections whose last answer has been sent, and that wait for the peer to close them. */
	countClosing: () => number;
	/** Closes the connections without a request or a part of one. */
	closeIdle: () => void;
	/** Closes all connections, also those with answers under way. */
	closeAll: () => void;
}>;

export type HttpConnectionsOptions = Readonly<{
	clock: Clock;
	/** Event of the server that passes a connection on to its parser; that of TLS differs. */
	connectionEvent?: 'connection' | 'secureConnection';
	/** Longest time for which a closing connection waits for its peer, in milliseconds. */
	closeTimeoutMillis: number;
	/** Number of connections above which each new one ends the wait of the one that has waited longest for its peer. */
	maxUncrowded: number;
	/** Called when a peer resets a connection on which it has not acknowledged the end of the last answer. */
	onReset?: () => void;
}>;

/** Answers to requests that cannot be parsed, by the code of the error. */
const PARSE_ERROR_STATUSES: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';
const TUNNEL_REFUSAL = '501 Not Implemented';

/** Errors that end a connection on which nothing more can be sent. */
const CONNECTION_ERRORS: ReadonlySet<string> = new Set(['ECONNRESET', 'EPIPE', 'HPE_INVALID_EOF_STATE']);

/** Requests of a connection whose answers may be open at a time; it takes no further ones beyond that. */
const MAX_OPEN_EXCHANGES = 100;

type OpenExchange = Readonly<{req: IncomingMessage; res: ServerResponse; end: (end: ExchangeEnd) => void}>;

type Connection = {
	readonly socket: Socket;
	/** Continue an answer once the socket takes more. */
	readonly drainListeners: ReadonlyArray<() => void>;
	/** In the order of arrival. */
	readonly exchanges: Set<OpenExchange>;
	/** Bytes that had been received with the last request. */
	idleBytesRead: number;
	/** Monotonic time at which the last exchange ended; undefined before. */
	idleSinceMillis: number | undefined;
	/** Whether nothing behind the last request is taken: it cannot be parsed, or there are too many. */
	isBroken: boolean;
	/** Whether the last answer has been sent, and the sending side is closed. */
	isClosing: boolean;
};

/** Takes over the connections of a server, before it listens. */
export function manageConnections(server: Server, {
	clock, connectionEvent = 'connection', closeTimeoutMillis, maxUncrowded, onReset,
}: HttpConnectionsOptions): HttpConnections {
	const connections = new Map<Socket, Connection>();
	/** In the order in which they began to close. */
	const closing = new Set<Connection>();
	let isKeepAliveDisabled = false;

	/**
	 * Closes the sending side and discards what arrives until the peer closes its own. Bytes that are unread at the close of a socket, or arrive
	 * after it, make the kernel send a reset, and the peer may lose the end of the answer.
	 */
	async function closeGracefully(connection: Connection): Promise<void> {
		const {socket, exchanges} = connection;
		if (connection.isClosing) {
			return;
		}

		connection.isClosing = true;
		closing.add(connection);
		const closed = new AbortController();
		socket.once('close', () => {
			closing.delete(connection);
			closed.abort();
		});
		socket.once('error', () => onReset?.());
		discardReceived(socket);
		socket.end();
		for (const exchange of exchanges) {
			exchange.end('closed');
		}

		await clock.sleep(closeTimeoutMillis, closed.signal);
		socket.destroy();
	}

	function track(socket: Socket): Connection {
		const known = connections.get(socket);
		if (known) {
			return known;
		}

		const connection: Connection = {
			socket, drainListeners: socket.listeners('drain').map(listener => () => {
				Reflect.apply(listener, socket, []);
			}), exchanges: new Set(), idleBytesRead: 0, idleSinceMillis: undefined, isBroken: false, isClosing: false,
		};
		connections.set(socket, connection);
		if (connections.size > maxUncrowded) {
			const [oldest] = closing;
			oldest?.socket.destroy();
		}

		// The server calls this after the last answer on the connection.
		socket.destroySoon = () => {
			void closeGracefully(connection);
		};

		socket.once('close', () => {
			connections.delete(socket);
			for (const exchange of connection.exchanges) {
				exchange.end('closed');
			}
		});
		return connection;
	}

	/** Answers the request that cannot be parsed, unless others are still to be answered: those keep the connection open. */
	function handleClientError(err: NodeJS.ErrnoException, socket: Socket): void {
		const connection = connections.get(socket);
		if (connection && (connection.isClosing || connection.isBroken)) {
			return;
		}

		if (!connection || !socket.writable || CONNECTION_ERRORS.has(err.code ?? '')) {
			socket.destroy();
			return;
		}

		rejectRest(connection, PARSE_ERROR_STATUSES[err.code ?? ''] ?? BAD_REQUEST);
	}

	/** Refuses a request for a tunnel. The server has taken its listeners off the socket by then, also that which continues an answer under way. */
	function handleTunnelRequest(_req: IncomingMessage, socket: Duplex): void {
		const connection = socket instanceof Socket ? connections.get(socket) : undefined;
		if (!connection) {
			socket.destroy();
			return;
		}

		for (const listener of connection.drainListeners) {
			socket.on('drain', listener);
		}

		socket.on('end', () => {
			socket.end();
		});
		rejectRest(connection, TUNNEL_REFUSAL);
	}

	/** Takes nothing more from a connection. Answers under way go on; if there are none, the request that cannot be taken is answered. */
	function rejectRest(connection: Connection, status: string): void {
		const {socket} = connection;
		connection.isBroken = true;
		discardReceived(socket);
		const incomplete = [...connection.exchanges].filter(({req}) => !req.complete);
		if (incomplete.length < connection.exchanges.size) {
			for (const exchange of incomplete) {
				exchange.end('closed');
			}

			return;
		}

		if (!incomplete.some(({res}) => res.headersSent)) {
			socket.write(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
		}

		void closeGracefully(connection);
	}

	function add(req: IncomingMessage, res: ServerResponse, onEnd?: (end: ExchangeEnd) => void): HttpExchange {
		const connection = track(req.socket);
		const {socket, exchanges} = connection;
		const disconnection = new AbortController();
		/** Bytes that had been received when the request was read. */
		let requestBytesRead: number | undefined;
		req.once('end', () => {
			requestBytesRead = socket.bytesRead;
		});
		let settleTurn: (isNext: boolean) => void = () => undefined;
		const turn = new Promise<boolean>(resolve => {
			settleTurn = resolve;
		});
		const exchange: OpenExchange = {
			req,
			res,
			end(end) {
				if (!exchanges.delete(exchange)) {
					return;
				}

				settleTurn(false);
				if (end === 'closed') {
					disconnection.abort();
				}

				connection.idleBytesRead = requestBytesRead ?? socket.bytesRead;
				connection.idleSinceMillis = clock.monotonicMillis();
				onEnd?.(end);
				if (connection.isBroken && exchanges.size === 0) {
					void closeGracefully(connection);
				}
			},
		};
		exchanges.add(exchange);
		// The server gives a response its socket when all earlier ones have been sent, and never behind one that closes the connection.
		if (res.socket) {
			settleTurn(true);
		} else {
			res.once('socket', () => {
				settleTurn(true);
			});
		}

		// Before the server's own listener, which closes the connection after its last answer.
		res.prependOnceListener('finish', () => {
			// A response finishes, too, when its connection is destroyed.
			exchange.end(socket.destroyed ? 'closed' : 'sent');
		});
		if (exchanges.size > MAX_OPEN_EXCHANGES && !connection.isBroken) {
			connection.isBroken = true;
			// The parser is running.
			setImmediate(discardReceived, socket);
		}

		if (connection.isBroken || connection.isClosing || socket.destroyed) {
			exchange.end('closed');
		}

		return {
			disconnectSignal: disconnection.signal,
			waitForTurn: async () => turn,
			isLast: () => (isKeepAliveDisabled || connection.isBroken) && [...exchanges].at(-1) === exchange,
		};
	}

	const isReceiving = ({socket, exchanges, idleBytesRead, isClosing}: Connection) => exchanges.size === 0 && socket.bytesRead !== idleBytesRead && !isClosing;

	function closeIdle(): void {
		for (const connection of connections.values()) {
			const {socket, exchanges, idleSinceMillis} = connection;
			if (exchanges.size > 0 || isReceiving(connection)) {
				continue;
			}

			// The peer may not have received the end of an answer that was sent a short time before.
			if (idleSinceMillis !== undefined && clock.monotonicMillis() - idleSinceMillis < closeTimeoutMillis) {
				void closeGracefully(connection);
			} else if (!connection.isClosing) {
				socket.destroy();
			}
		}
	}

	server.on(connectionEvent, (socket: Socket) => {
		track(socket);
	});
	server.on('clientError', handleClientError);
	server.on('connect', handleTunnelRequest);
	// The server calls this when it stops listening.
	server.closeIdleConnections = closeIdle;

	return {
		add,
		disableKeepAlive() {
			isKeepAliveDisabled = true;
		},
		countOpenExchanges: () => [...connections.values()].reduce((sum, {exchanges}) => sum + exchanges.size, 0),
		countReceiving: () => [...connections.values()].filter(connection => isReceiving(connection)).length,
		countClosing: () => closing.size,
		closeIdle,
		closeAll() {
			for (const {socket} of connections.values()) {
				socket.destroy();
			}

			server.closeAllConnections();
		},
	};
}

function ignoreData(): void {
	// A listener makes the socket read on.
}

/** Reads and drops whatever arrives from now on; the end of the connection is still noticed. */
function discardReceived(socket: Socket): void {
	// The first listener takes the socket back from the parser, which reads it below the stream.
	socket.on('data', ignoreData);
	socket.removeAllListeners('data');
	socket.on('data', ignoreData);
	socket.resume();
}
