import type {RankEngine, RankOrder} from '../ports/rank-engine.js';

/** Orders that block the group until the planner continues. */
const BLOCKING_ORDERS: ReadonlySet<RankOrder['tag']> = new Set(['hold', 'arm']);

/** Access to a rank through its agent, except that orders which block the group go directly to its engine. */
export function createRankWithDirectHolds(remote: RankEngine, direct: RankEngine): RankEngine {
	return {
		...remote,
		order: async (order, epoch) => BLOCKING_ORDERS.has(order.tag) ? direct.order(order, epoch) : remote.order(order, epoch),
	};
}
