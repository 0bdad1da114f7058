import type {RankEngine, RankOrder} from '../ports/rank-engine.js';

/** Orders that keep the group waiting until the planner goes on. */
const WAITING_ORDERS: ReadonlySet<RankOrder['tag']> = new Set(['hold', 'arm']);

/** A rank as the planner sees it: through its agent, but for the orders that keep the group waiting. */
export function createRankWithDirectHolds(remote: RankEngine, direct: RankEngine): RankEngine {
	return {
		...remote,
		order: async (order, epoch) => WAITING_ORDERS.has(order.tag) ? direct.order(order, epoch) : remote.order(order, epoch),
	};
}
