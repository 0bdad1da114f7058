import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../core/manual-clock.js';
import {fail, succeed} from '../../core/result.js';
import {silentLog} from '../../observability/log.js';
import type {RankEngine, RankState} from '../../ports/rank-engine.js';
import {HELD_SWITCH_MILLIS, MAX_PLANNER_SWITCH_MILLIS, PLANNER_ANSWER_TIMEOUT_MILLIS} from '../rank-agent-constants.js';
import {watchForStalledSwitch} from '../watch-for-stalled-switch.js';

/** A rank that holds the group at its next pass. */
const HELD: RankState = {
	group: {
		name: 'g', rank: 1, size: 2, epoch: 1, isOpen: true,
	},
	step: 40,
	mapVersion: 0,
	preparedVersion: 2,
	armed: undefined,
	heldStep: 41,
	slowFactor: 1,
	hasWork: true,
};

const engine: RankEngine = {
	readState: async () => succeed(HELD),
	readLoad: async () => fail({tag: 'unavailable', detail: ''}),
	readExperts: async () => fail({tag: 'unavailable', detail: ''}),
	order: async () => ({tag: 'done', detail: ''}),
};

/** Watches a held rank for some time; returns when the agent looked at the group, in milliseconds, and whether it bypassed the agents. */
async function watch(askPlanner: () => Promise<boolean>, forMillis: number): Promise<ReadonlyArray<Readonly<{atMillis: number; isDirect: boolean}>>> {
	const clock = createManualClock();
	const stop = new AbortController();
	const looks: Array<Readonly<{atMillis: number; isDirect: boolean}>> = [];
	void watchForStalledSwitch({
		clock,
		log: {
			...silentLog,
			info(message, context) {
				if (message === 'looked for a switch left behind') {
					looks.push({atMillis: clock.monotonicMillis(), isDirect: context?.isDirect === true});
				}
			},
		},
		engine,
		readRanks: () => undefined,
		readMap: () => undefined,
		askPlanner,
	}, stop.signal);
	while (clock.monotonicMillis() < forMillis) {
		clock.advance(10);
		// eslint-disable-next-line no-await-in-loop -- Time advances step by step.
		await nextTurn();
	}

	stop.abort();
	return looks;
}

void test('a switch that takes long is not fenced off while its planner runs', async () => {
	const looks = await watch(async () => true, MAX_PLANNER_SWITCH_MILLIS * 1.5);
	assert.ok((looks[0]?.atMillis ?? 0) >= MAX_PLANNER_SWITCH_MILLIS, `looked after ${looks[0]?.atMillis} ms`);
});

for (const [name, askPlanner] of [
	['refuses connections', async () => false],
	['does not answer', async () => new Promise<never>(() => {
		// Never settles.
	})],
] as const) {
	void test(`a group whose planner ${name} is looked at soon, through the agents and then directly`, async () => {
		const looks = await watch(askPlanner, 3000);
		assert.ok((looks[0]?.atMillis ?? Infinity) <= HELD_SWITCH_MILLIS + PLANNER_ANSWER_TIMEOUT_MILLIS, `looked after ${looks[0]?.atMillis} ms`);
		assert.ok(looks.some(({isDirect}) => isDirect));
	});
}
