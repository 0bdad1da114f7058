/** Access to a rank of the group through the agent beside its engine. */
import {status} from '@grpc/grpc-js';
import type {LinkAccess} from '../access/link-access.js';
import {PEER_CHANNEL_OPTIONS} from '../access/peer-channel-options.js';
import type {Clock} from '../core/clock.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {OrderOutcome, RankEngine, RankReadError} from '../ports/rank-engine.js';
import {RankAgentClient, type RankOrder as OrderMessage, type RankReading} from '../wire/generated/rank.js';
import {createChangeDescriber} from './map-change.js';
import {
	fromOutcome, fromReading, toOrderMessage, UNKNOWN_MAP,
} from './rank-messages.js';
import {RANK_CALL_TIMEOUT_MILLIS, RANK_ORDER_TIMEOUT_MILLIS, WHOLE_MAP_TIMEOUT_MILLIS} from './rank-agent-constants.js';

/** A remote rank; `close` closes its connection. */
export type RemoteRank = RankEngine & Readonly<{close: () => void}>;

/** Status codes which show that the agent did not execute the call. */
const NOT_EXECUTED_CODES: ReadonlySet<number> = new Set([status.UNAUTHENTICATED, status.UNIMPLEMENTED]);

/**
 * Opens access to the agent at `address`. After a failed call the connection is replaced, because it may be dead.
 * `describeMapChange` may be shared with other ranks, which get the same maps.
 */
export function openRemoteRank(address: string, access: LinkAccess, clock: Clock, describeMapChange = createChangeDescriber()): RemoteRank {
	let client: RankAgentClient | undefined;

	function getClient(): RankAgentClient {
		client ??= new RankAgentClient(address, access.channel, PEER_CHANNEL_OPTIONS);
		return client;
	}

	function discardClient(failed: RankAgentClient): void {
		failed.close();
		if (client === failed) {
			client = undefined;
		}
	}

	/** Deadline of a call in wall-clock time, which gRPC expects. */
	function createDeadline(millis: number): Date {
		return new Date(clock.now().getTime() + millis);
	}

	async function read(withCounts: boolean, withExperts: boolean): Promise<Result<RankReading, RankReadError>> {
		const used = getClient();
		return new Promise(resolve => {
			used.read({withCounts, withExperts}, access.createMetadata(), {deadline: createDeadline(RANK_CALL_TIMEOUT_MILLIS)}, (err, reading) => {
				if (err) {
					discardClient(used);
					resolve(fail({tag: 'unavailable', detail: err.details}));
					return;
				}

				resolve(succeed(reading));
			});
		});
	}

	async function send(message: OrderMessage, timeoutMillis: number): Promise<OrderOutcome | typeof UNKNOWN_MAP> {
		const used = getClient();
		return new Promise(resolve => {
			used.order(message, access.createMetadata(), {deadline: createDeadline(timeoutMillis)}, (err, outcome) => {
				if (err) {
					discardClient(used);
					resolve({tag: NOT_EXECUTED_CODES.has(err.code) ? 'refused' : 'unknown', detail: err.details});
					return;
				}

				resolve(outcome.outcome === UNKNOWN_MAP ? UNKNOWN_MAP : fromOutcome(outcome));
			});
		});
	}

	return {
		async readState() {
			const reading = await read(false, false);
			return reading.ok ? succeed(fromReading(reading.value)) : reading;
		},
		async readLoad() {
			const reading = await read(true, false);
			return reading.ok ? succeed({state: fromReading(reading.value), counts: reading.value.counts}) : reading;
		},
		async readExperts() {
			const reading = await read(false, true);
			return reading.ok ? succeed(reading.value.experts.map(({experts}) => experts)) : reading;
		},
		async order(order, epoch) {
			const change = order.tag === 'prepare' && order.base ? describeMapChange(order.base, order.experts) : undefined;
			if (change) {
				const outcome = await send(toOrderMessage(order, epoch, change), RANK_ORDER_TIMEOUT_MILLIS);
				if (outcome !== UNKNOWN_MAP) {
					return outcome;
				}
			}

			const outcome = await send(toOrderMessage(order, epoch), order.tag === 'prepare' ? WHOLE_MAP_TIMEOUT_MILLIS : RANK_ORDER_TIMEOUT_MILLIS);
			return outcome === UNKNOWN_MAP ? {tag: 'refused', detail: outcome} : outcome;
		},
		close() {
			client?.close();
		},
	};
}
