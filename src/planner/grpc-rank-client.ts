import type {CallOptions, Metadata, ServiceError} from '@grpc/grpc-js';
import type {LinkAccess} from '../access/link-access.js';
import type {Clock} from '../core/clock.js';
import {fail, succeed, type Result} from '../core/result.js';
import {RankVoteClient} from '../wire/generated/vote.js';
import type {RankClientError, RankClient} from './rank-client.js';

/** Longest time one call may take, in milliseconds. */
const CALL_TIMEOUT_MILLIS = 2000;
/** Largest message taken, in bytes. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Longest wait before a lost connection is opened again, in milliseconds. */
const MAX_RECONNECT_BACKOFF_MILLIS = 1000;

const CHANNEL_OPTIONS = {
	'grpc.enable_retries': 0,
	'grpc.initial_reconnect_backoff_ms': 100,
	'grpc.max_reconnect_backoff_ms': MAX_RECONNECT_BACKOFF_MILLIS,
	'grpc.max_receive_message_length': MAX_MESSAGE_BYTES,
};

type UnaryCall<Input, Output> = (
	req: Input,
	metadata: Metadata,
	options: Partial<CallOptions>,
	callback: (err: ServiceError | null, res: Output) => void, // eslint-disable-line @typescript-eslint/no-restricted-types
) => unknown;

/** Speaks to the agents of rank groups by gRPC, over one connection an agent. */
export function createGrpcRankClient(access: LinkAccess, clock: Clock): RankClient {
	const clients = new Map<string, RankVoteClient>();

	function openClient(address: string): RankVoteClient {
		const client = clients.get(address) ?? new RankVoteClient(address, access.channel, CHANNEL_OPTIONS);
		clients.set(address, client);
		return client;
	}

	async function call<Input, Output>(method: UnaryCall<Input, Output>, req: Input): Promise<Result<Output, RankClientError>> {
		const deadline = new Date(clock.now().getTime() + CALL_TIMEOUT_MILLIS);
		return new Promise(resolve => {
			method(req, access.createMetadata(), {deadline}, (err, res) => {
				resolve(err ? fail({tag: 'no_answer', detail: err.message}) : succeed(res));
			});
		});
	}

	return {
		async readRank(address, group) {
			const client = openClient(address);
			return call(client.readRank.bind(client), {group, token: ''});
		},
		async propose(address, proposal) {
			const client = openClient(address);
			return call(client.propose.bind(client), proposal);
		},
		close() {
			for (const client of clients.values()) {
				client.close();
			}

			clients.clear();
		},
	};
}
