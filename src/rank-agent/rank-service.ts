/** Serves the engine beside this agent to the agents of other ranks, over gRPC. */
import {status, type sendUnaryData, type ServerUnaryCall} from '@grpc/grpc-js';
import type {LinkAccess} from '../access/link-access.js';
import type {LinkService} from '../agent/link-server.js';
import type {Log} from '../observability/log.js';
import type {RankEngine} from '../ports/rank-engine.js';
import {
	RankAgentService, type OrderOutcome, type RankOrder, type RankReading, type ReadRank,
} from '../wire/generated/rank.js';
import {createMapMemory} from './map-change.js';
import {fromOrderMessage, toReading, UNKNOWN_MAP} from './rank-messages.js';

/** Dependencies of the service. */
export type RankServiceDeps = Readonly<{engine: RankEngine; access: LinkAccess; log: Log}>;

export function createRankService({engine, access, log}: RankServiceDeps): LinkService {
	const maps = createMapMemory();

	async function read({withCounts, withExperts}: ReadRank): Promise<RankReading | undefined> {
		if (withCounts) {
			const load = await engine.readLoad();
			return load.ok ? toReading(load.value.state, load.value.counts, []) : undefined;
		}

		const state = await engine.readState();
		const experts = withExperts ? await engine.readExperts() : undefined;
		return state.ok && experts?.ok !== false ? toReading(state.value, [], experts?.value ?? []) : undefined;
	}

	async function executeOrder(message: RankOrder): Promise<OrderOutcome> {
		const order = fromOrderMessage(message, maps);
		if (order === undefined) {
			return {outcome: 'refused', detail: 'no order'};
		}

		if (order === 'unknown_map') {
			return {outcome: UNKNOWN_MAP, detail: 'the base of the change is not known'};
		}

		const {tag, detail} = await engine.order(order, message.epoch);
		log.info('map order', {
			order: order.tag, version: 'version' in order ? order.version : undefined, step: 'step' in order ? order.step : undefined, epoch: message.epoch, outcome: tag, detail,
		});
		return {outcome: tag, detail};
	}

	/** Creates a handler that answers with the result of `run`, which is undefined if the engine does not answer. */
	function createHandler<T, U>(run: (message: T) => Promise<U | undefined>) {
		return ({metadata, request}: ServerUnaryCall<T, U>, reply: sendUnaryData<U>): void => {
			if (!access.isAuthorised(metadata)) {
				reply({code: status.UNAUTHENTICATED, details: 'no valid token'});
				return;
			}

			void run(request).then(answer => {
				if (answer) {
					reply(null, answer);
				} else {
					reply({code: status.UNAVAILABLE, details: 'the engine does not answer'});
				}
			});
		};
	}

	return {definition: RankAgentService, implementation: {read: createHandler(read), order: createHandler(executeOrder)}};
}
