/** Serves the engine beside this agent to the agents of other ranks, over gRPC. */
import {status, type sendUnaryData, type ServerUnaryCall} from '@grpc/grpc-js';
import type {LinkAccess} from '../access/link-access.js';
import type {LinkService} from '../agent/link-server.js';
import type {Clock} from '../core/clock.js';
import type {Log} from '../observability/log.js';
import type {OrderOutcome as RankOrderOutcome, RankEngine, RankOrder as EngineOrder} from '../ports/rank-engine.js';
import {
	RankAgentService, type OrderOutcome, type RankOrder, type RankReading, type ReadRank,
} from '../wire/generated/rank.js';
import {createMapMemory, type MapMemory} from './map-change.js';
import {PREPARE_ANSWER_TIMEOUT_MILLIS, PREPARE_POLL_INTERVAL_MILLIS, PREPARE_WAIT_MILLIS} from './rank-agent-constants.js';
import {fromOrderMessage, toReading, UNKNOWN_MAP} from './rank-messages.js';

const NO_ANSWER: RankOrderOutcome = {tag: 'unknown', detail: 'no answer'};

type PrepareOrder = Extract<EngineOrder, {tag: 'prepare'}>;

/** Dependencies of the service. */
export type RankServiceDeps = Readonly<{
	engine: RankEngine;
	access: LinkAccess;
	clock: Clock;
	log: Log;
	/** The maps that the agent has been sent. */
	maps?: MapMemory;
}>;

export function createRankService({
	engine, access, clock, log, maps = createMapMemory(),
}: RankServiceDeps): LinkService {
	async function read({withCounts, withExperts}: ReadRank): Promise<RankReading | undefined> {
		if (withCounts) {
			const load = await engine.readLoad();
			return load.ok ? toReading(load.value.state, load.value.counts, []) : undefined;
		}

		const state = await engine.readState();
		const experts = withExperts ? await engine.readExperts() : undefined;
		return state.ok && experts?.ok !== false ? toReading(state.value, [], experts?.value ?? []) : undefined;
	}

	/**
	 * Prepares a version: sends the order again while the engine beside this agent does not answer, and waits until the experts have been copied, so
	 * that the planner need not look at each rank.
	 */
	async function prepare(order: PrepareOrder, epoch: number): Promise<RankOrderOutcome> {
		maps.rememberVersion(order.version, order.experts);
		const untilMillis = clock.monotonicMillis() + PREPARE_WAIT_MILLIS;
		let outcome = NO_ANSWER;
		/* eslint-disable no-await-in-loop -- Orders and reads are sequential. */
		for (let sends = 1; outcome.tag === 'unknown' && clock.monotonicMillis() < untilMillis; sends++) {
			const timeout = clock.sleep(PREPARE_ANSWER_TIMEOUT_MILLIS).then(() => NO_ANSWER);
			outcome = await Promise.race([engine.order(order, epoch), timeout]);
			if (outcome.tag === 'done' || (outcome.tag === 'refused' && sends === 1)) {
				return outcome;
			}

			await clock.sleep(PREPARE_POLL_INTERVAL_MILLIS);
		}

		// An order that was sent again may have been refused because the engine executes the former one.
		while (clock.monotonicMillis() < untilMillis) {
			const state = await engine.readState();
			if (state.ok && state.value.preparedVersion === order.version) {
				return {tag: 'done', detail: ''};
			}

			await clock.sleep(PREPARE_POLL_INTERVAL_MILLIS);
		}
		/* eslint-enable no-await-in-loop */

		return outcome;
	}

	async function executeOrder(message: RankOrder): Promise<OrderOutcome> {
		const order = fromOrderMessage(message, maps);
		if (order === undefined) {
			return {outcome: 'refused', detail: 'no order'};
		}

		if (order === 'unknown_map') {
			return {outcome: UNKNOWN_MAP, detail: 'the base of the change is not known'};
		}

		const {tag, detail} = await (order.tag === 'prepare' ? prepare(order, message.epoch) : engine.order(order, message.epoch));
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
