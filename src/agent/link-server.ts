/** Listener that entries and other agents connect to over gRPC. */
import {Server, type UntypedServiceImplementation, type ServiceDefinition} from '@grpc/grpc-js';
import type {LinkAccess} from '../access/link-access.js';
import type {Clock} from '../core/clock.js';
import type {ListenError} from '../core/listen-error.js';
import {parseHostPort} from '../core/host-port.js';
import {fail, succeed, type Result} from '../core/result.js';
import {LISTENER_CLOSE_TIMEOUT_MILLIS, MAX_FRAME_BYTES} from './agent-constants.js';

/** A gRPC service and its implementation. */
export type LinkService = Readonly<{definition: ServiceDefinition; implementation: UntypedServiceImplementation}>;

export type LinkServer = Readonly<{
	/** `host:port` that the listener is bound to. */
	address: string;
	/** Waits `LISTENER_CLOSE_TIMEOUT_MILLIS` for open calls to end, then cancels the rest. */
	close: () => Promise<void>;
}>;

const SERVER_OPTIONS = {
	'grpc.max_receive_message_length': MAX_FRAME_BYTES,
	'grpc.max_send_message_length': MAX_FRAME_BYTES,
	'grpc.so_reuseport': 0,
	'grpc.keepalive_time_ms': 10_000,
	'grpc.keepalive_timeout_ms': 5000,
};

/** Listens on `address`. Fails on a port in use, so that two agents never serve the same address. */
export async function openLinkServer(
	access: LinkAccess,
	clock: Clock,
	address: string,
	services: readonly LinkService[],
): Promise<Result<LinkServer, ListenError>> {
	const server = new Server(SERVER_OPTIONS);
	for (const {definition, implementation} of services) {
		server.addService(definition, implementation);
	}

	return new Promise(resolve => {
		server.bindAsync(address, access.server, (err, port) => {
			if (err) {
				resolve(fail({tag: 'listen_failed', address, detail: err.message}));
				return;
			}

			resolve(succeed({address: `${parseHostPort(address).host}:${port}`, close: async () => closeServer(server, clock)}));
		});
	});
}

async function closeServer(server: Server, clock: Clock): Promise<void> {
	const shutdown = new AbortController();
	server.tryShutdown(() => {
		shutdown.abort();
	});
	await clock.sleep(LISTENER_CLOSE_TIMEOUT_MILLIS, shutdown.signal);
	server.forceShutdown();
}
