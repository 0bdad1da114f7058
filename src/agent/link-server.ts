/** Listener that entries and other agents connect to. */
import {Server, type UntypedServiceImplementation, type ServiceDefinition} from '@grpc/grpc-js';
import type {LinkAccess} from '../access/link-access.js';
import type {Clock} from '../core/clock.js';
import type {ListenError} from '../core/listen-error.js';
import {parseHostPort} from '../core/listen-on.js';
import {fail, succeed, type Result} from '../core/result.js';
import {LISTENER_CLOSE_TIMEOUT_MILLIS, MAX_FRAME_BYTES} from './agent-constants.js';

/** A service and what implements it. */
export type LinkService = Readonly<{definition: ServiceDefinition; implementation: UntypedServiceImplementation}>;

/** An open listener. */
export type LinkServer = Readonly<{
	/** `host:port` that is listened on. */
	address: string;
	/** Ends open calls, the slow ones by force. */
	close: () => Promise<void>;
}>;

const SERVER_OPTIONS = {
	'grpc.max_receive_message_length': MAX_FRAME_BYTES,
	'grpc.max_send_message_length': MAX_FRAME_BYTES,
	'grpc.so_reuseport': 0,
	'grpc.keepalive_time_ms': 10_000,
	'grpc.keepalive_timeout_ms': 5000,
};

/** Listens on `address`. A port that another process holds is a failure: one live agent per slot. */
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
	const wait = new AbortController();
	server.tryShutdown(() => {
		wait.abort();
	});
	await clock.sleep(LISTENER_CLOSE_TIMEOUT_MILLIS, wait.signal);
	server.forceShutdown();
}
