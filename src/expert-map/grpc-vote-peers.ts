/** Connects to the agents of the other ranks over gRPC, with one connection for each. */
import type {LinkAccess} from '../access/link-access.js';
import {PEER_CHANNEL_OPTIONS} from '../access/peer-channel-options.js';
import type {Clock} from '../core/clock.js';
import {fail, succeed, type Result} from '../core/result.js';
import {RankVoteClient, type VoteReport} from '../wire/generated/vote.js';
import {PEER_TIMEOUT_MILLIS} from './vote-constants.js';
import type {VotePeerError, VotePeers} from './vote-peers.js';

/** Vote peers over gRPC; `close` closes their connections. */
export type GrpcVotePeers = VotePeers & Readonly<{close: () => void}>;

/** Creates the peers; a connection on which a call has failed or timed out is replaced before the next call. */
export function createGrpcVotePeers(access: LinkAccess, clock: Clock): GrpcVotePeers {
	const clients = new Map<string, RankVoteClient>();

	function openClient(address: string): RankVoteClient {
		const client = clients.get(address) ?? new RankVoteClient(address, access.channel, PEER_CHANNEL_OPTIONS);
		clients.set(address, client);
		return client;
	}

	/** Replaces the connection: it can stay unresponsive although new connections to the address work. */
	function dropClient(address: string, client: RankVoteClient): void {
		client.close();
		if (clients.get(address) === client) {
			clients.delete(address);
		}
	}

	async function exchange(address: string, report: VoteReport): Promise<Result<VoteReport, VotePeerError>> {
		const client = openClient(address);
		const deadline = new Date(clock.now().getTime() + PEER_TIMEOUT_MILLIS);
		return new Promise(resolve => {
			client.exchange(report, access.createMetadata(), {deadline}, (err, reply) => {
				if (err) {
					dropClient(address, client);
					resolve(fail({tag: 'no_answer', detail: err.message}));
					return;
				}

				resolve(succeed(reply));
			});
		});
	}

	return {
		exchange,
		close() {
			for (const client of clients.values()) {
				client.close();
			}

			clients.clear();
		},
	};
}
