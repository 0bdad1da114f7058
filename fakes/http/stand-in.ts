import {createServer, type Server} from 'node:http';
import type {AddressInfo, Socket} from 'node:net';
import {getRequestListener, type HttpBindings} from '@hono/node-server';
import {Hono} from 'hono';
import {invariant} from '../../src/core/invariant.js';
import {parseHostPort} from '../../src/core/host-port.js';
import {createFaultControl, type FaultControl} from '../faults/fault-control.js';
import {registerFaultMiddleware} from '../faults/fault-middleware.js';
import {registerControlRoutes} from './control-routes.js';

/** Hono application of a stand-in. */
export type StandInApp = Hono<{Bindings: HttpBindings}>;

/** A running stand-in. */
export type StandIn = Readonly<{
	/** Base URL, without a trailing slash. */
	url: string;
	faults: FaultControl;
	/** Closes the listener and all connections. */
	close: () => Promise<void>;
}>;

/** Definition of one kind of stand-in. */
export type StandInDefinition = Readonly<{
	/** `IP:port`; port 0 selects any free port. */
	listen: string;
	/** Adds the routes under `/v1/` and further control routes. */
	addRoutes: (app: StandInApp, faults: FaultControl) => void;
	/** Body of the answer to `GET /control/records`. */
	records: () => unknown;
	/** Handles `POST /control/reset`: clears the stored data or the records. An engine keeps both. */
	reset: () => void;
	/** Stops the background tasks of the stand-in. */
	stop?: () => void;
}>;

async function startListening(server: Server, listen: string): Promise<AddressInfo> {
	const {host, port} = parseHostPort(listen);
	await new Promise<void>((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, resolve);
	});
	const address = server.address();
	invariant(address !== null && typeof address !== 'string', 'a TCP listener has an address');
	return address;
}

async function closeServer(server: Server, sockets: ReadonlySet<Socket>): Promise<void> {
	await new Promise<void>(resolve => {
		server.close(() => {
			resolve();
		});
		for (const socket of sockets) {
			socket.destroy();
		}
	});
}

function trackSockets(server: Server): ReadonlySet<Socket> {
	const sockets = new Set<Socket>();
	server.on('connection', (socket: Socket) => {
		sockets.add(socket);
		socket.once('close', () => {
			sockets.delete(socket);
		});
	});
	return sockets;
}

/** Starts a stand-in. Rejects when its address cannot be bound. */
export async function startStandIn(definition: StandInDefinition): Promise<StandIn> {
	const faults = createFaultControl();
	const app: StandInApp = new Hono();
	registerControlRoutes(app, faults, definition);
	registerFaultMiddleware(app, faults);
	definition.addRoutes(app, faults);

	const listener = getRequestListener(app.fetch);
	const server = createServer((req, res) => {
		void listener(req, res);
	});
	const sockets = trackSockets(server);
	const {address, port} = await startListening(server, definition.listen);
	return {
		url: `http://${address}:${port}`,
		faults,
		async close() {
			definition.stop?.();
			await closeServer(server, sockets);
		},
	};
}
