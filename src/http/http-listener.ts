import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {getRequestListener} from '@hono/node-server';
import type {TlsMaterial} from '../access/link-access.js';
import type {Clock} from '../core/clock.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {listenOn} from '../core/listen-on.js';
import type {Result} from '../core/result.js';
import {manageConnections, type HttpConnections} from './http-connections.js';
import {
	CLOSE_POLL_INTERVAL_MILLIS, CLOSE_TIMEOUT_MILLIS, CONNECTION_CHECK_MILLIS, MAX_UNCROWDED_CONNECTIONS, PEER_CLOSE_TIMEOUT_MILLIS, PEER_SHUTDOWN_TIMEOUT_MILLIS, REQUEST_TIMEOUT_MILLIS,
} from './http-listener-constants.js';

export type FetchHandler = (req: Request) => Response | Promise<Response>;

/** TLS options of a listener. */
export type ListenerTls = Readonly<{
	material: TlsMaterial;
	/** Whether clients must present a certificate issued by the authority. */
	asksForCertificate: boolean;
}>;

export type ListenOptions = Readonly<{
	name: string;
	/** `IP:port`. */
	address: string;
	clock: Clock;
	lifeCycle: LifeCycle;
	tls?: ListenerTls;
}>;

const SERVER_TIMEOUTS = {
	requestTimeout: REQUEST_TIMEOUT_MILLIS,
	headersTimeout: REQUEST_TIMEOUT_MILLIS,
	connectionsCheckingInterval: CONNECTION_CHECK_MILLIS,
} as const;

function createHttpServer(tls: ListenerTls | undefined): Server {
	if (!tls) {
		return createServer(SERVER_TIMEOUTS);
	}

	return createTlsServer({
		...SERVER_TIMEOUTS,
		cert: Buffer.from(tls.material.certificate),
		key: Buffer.from(tls.material.key),
		ca: Buffer.from(tls.material.authority),
		requestCert: tls.asksForCertificate,
		rejectUnauthorized: tls.asksForCertificate,
	});
}

/** Listens until the life cycle shuts down; closing waits for responses in flight, and fails if some could not be sent. The value is the port. */
export async function listenHttp(handler: FetchHandler, {name, address, clock, lifeCycle, tls}: ListenOptions): Promise<Result<number, ListenError>> {
	const server = createHttpServer(tls);
	const connections = manageConnections(server, {
		clock, connectionEvent: tls ? 'secureConnection' : 'connection', closeTimeoutMillis: PEER_CLOSE_TIMEOUT_MILLIS, maxUncrowded: MAX_UNCROWDED_CONNECTIONS,
	});
	const listener = getRequestListener(handler);
	server.on('request', (req, res) => {
		void serveInTurn(connections, req, res, listener);
	});
	const listening = await listenOn(server, address);
	if (listening.ok) {
		lifeCycle.own(name, async () => closeServer(server, connections, clock));
	}

	return listening;
}

type RequestListener = ReturnType<typeof getRequestListener>;

/** Serves the requests of a connection one after the other. */
async function serveInTurn(connections: HttpConnections, req: IncomingMessage, res: ServerResponse, listener: RequestListener): Promise<void> {
	const exchange = connections.add(req, res);
	if (await exchange.waitForTurn()) {
		if (exchange.isLast()) {
			res.shouldKeepAlive = false;
		}

		await listener(req, res);
	}
}

async function closeServer(server: Server, connections: HttpConnections, clock: Clock): Promise<void> {
	const waitForNone = async (count: () => number, timeoutMillis: number) => {
		const untilMillis = clock.monotonicMillis() + timeoutMillis;
		while (count() > 0 && clock.monotonicMillis() < untilMillis) {
			// eslint-disable-next-line no-await-in-loop -- Polls sequentially.
			await clock.sleep(CLOSE_POLL_INTERVAL_MILLIS);
		}
	};

	connections.disableKeepAlive();
	server.close();
	await waitForNone(connections.countOpenExchanges, CLOSE_TIMEOUT_MILLIS);
	connections.closeIdle();
	// Half a request or a peer that does not close must not hold up the shutdown.
	await waitForNone(() => connections.countOpenExchanges() + connections.countReceiving() + connections.countClosing(), PEER_SHUTDOWN_TIMEOUT_MILLIS);
	const unsent = connections.countOpenExchanges();
	connections.closeAll();
	if (unsent > 0) {
		throw new Error(`${unsent} answers were not sent within ${CLOSE_TIMEOUT_MILLIS} ms`);
	}
}
