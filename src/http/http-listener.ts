import {Buffer} from 'node:buffer';
import {createServer, type Server} from 'node:http';
import {createServer as createTlsServer} from 'node:https';
import {getRequestListener} from '@hono/node-server';
import type {TlsMaterial} from '../access/link-access.js';
import type {Clock} from '../core/clock.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {listenOn} from '../core/listen-on.js';
import type {Result} from '../core/result.js';
import {CLOSE_TIMEOUT_MILLIS, CONNECTION_CHECK_MILLIS, REQUEST_TIMEOUT_MILLIS} from './http-listener-constants.js';

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

function createHttpServer(handler: FetchHandler, tls: ListenerTls | undefined): Server {
	const listener = getRequestListener(handler);
	const handleRequest = (...args: Parameters<typeof listener>) => {
		void listener(...args);
	};

	if (!tls) {
		return createServer(SERVER_TIMEOUTS, handleRequest);
	}

	return createTlsServer({
		...SERVER_TIMEOUTS,
		cert: Buffer.from(tls.material.certificate),
		key: Buffer.from(tls.material.key),
		ca: Buffer.from(tls.material.authority),
		requestCert: tls.asksForCertificate,
		rejectUnauthorized: tls.asksForCertificate,
	}, handleRequest);
}

/** Listens until the life cycle shuts down; closing waits for responses in flight. The value is the port. */
export async function listenHttp(handler: FetchHandler, options: ListenOptions): Promise<Result<number, ListenError>> {
	const server = createHttpServer(handler, options.tls);
	const listening = await listenOn(server, options.address);
	if (listening.ok) {
		options.lifeCycle.own(options.name, async () => closeServer(server, options.clock));
	}

	return listening;
}

async function closeServer(server: Server, clock: Clock): Promise<void> {
	const closed = new AbortController();
	server.close(() => {
		closed.abort();
	});
	server.closeIdleConnections();
	await clock.sleep(CLOSE_TIMEOUT_MILLIS, closed.signal);
	server.closeAllConnections();
}
