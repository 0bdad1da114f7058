import assert from 'node:assert/strict';
import {test} from 'node:test';
import {fail} from '../../core/result.js';
import type {RankEngine, RankOrder} from '../../ports/rank-engine.js';
import {createRankWithDirectHolds} from '../rank-with-direct-holds.js';

function createRecorder(name: string, seen: string[]): RankEngine {
	const nothing = async () => fail({tag: 'unavailable' as const, detail: ''});
	return {
		readState: nothing,
		readLoad: nothing,
		readExperts: nothing,
		async order({tag}) {
			seen.push(`${name} ${tag}`);
			return {tag: 'accepted', detail: ''};
		},
	};
}

void test('the planner itself gives the orders that keep the group waiting', async () => {
	const seen: string[] = [];
	const rank = createRankWithDirectHolds(createRecorder('agent', seen), createRecorder('planner', seen));
	const orders: readonly RankOrder[] = [
		{tag: 'prepare', version: 2, experts: []},
		{tag: 'hold', step: 5},
		{tag: 'arm', version: 2, step: 5},
		{tag: 'go', step: 5},
		{tag: 'disarm', version: 2},
	];
	for (const order of orders) {
		// eslint-disable-next-line no-await-in-loop -- In their order.
		await rank.order(order, 1);
	}

	assert.deepEqual(seen, ['agent prepare', 'planner hold', 'planner arm', 'agent go', 'agent disarm']);
});
