import assert from 'node:assert/strict';
import {test} from 'node:test';
import {silentLog} from '../../observability/log.js';
import type {GroupExperts} from '../../ports/rank-engine.js';
import {getAnchorRank, PLANNER_RANK} from '../group-ranks.js';
import {recoverSwitch} from '../recover-switch.js';
import {switchMap, type SwitchOutcome, type SwitchPlan} from '../switch-map.js';
import {createSwitchTiming, type SwitchTiming} from '../switch-timing.js';
import {createBusyPlanner} from './busy-planner.js';

const RANKS = 72;
const PASS_MILLIS = 85;
/** Longest pause between two events of a stream that is on time, in milliseconds. */
const MAX_PAUSE_MILLIS = 120;

const experts: GroupExperts = [Array.from({length: RANKS}, (_, rank) => [rank])];

type Planner = ReturnType<typeof createBusyPlanner>;

let version = 0;

const usualPlan: SwitchPlan = {
	epoch: 1, experts, base: experts, copyMillis: 12,
};

async function runSwitch({clock, ranks, runUntil}: Planner, plan = usualPlan, timing: SwitchTiming = createSwitchTiming()): Promise<SwitchOutcome | undefined> {
	version += 2;
	const own = version;
	return runUntil(switchMap({
		ranks, clock, log: silentLog, timing, takeVersion: async () => own, chooseStep: (_epoch, earliestStep) => earliestStep,
	}, plan), 20_000);
}

for (const callMillis of [0.5, 1, 2, 3]) {
	void test(`a planner whose processor needs ${callMillis * 2} ms for each call switches a group of ${RANKS} ranks and does not hold it`, async () => {
		const planner = createBusyPlanner({ranks: RANKS, callMillis, passMillis: PASS_MILLIS});
		const timing = createSwitchTiming();
		for (let i = 0; i < 4; i++) {
			// eslint-disable-next-line no-await-in-loop -- One switch after the other.
			const outcome = await runSwitch(planner, usualPlan, timing);
			assert.equal(outcome?.tag, 'switched', `switch ${i}: ${JSON.stringify(outcome)}`);
			// The next switch begins once this one has taken effect.
			// eslint-disable-next-line no-await-in-loop -- See above.
			await planner.runUntil(planner.clock.sleep(PASS_MILLIS * 13), PASS_MILLIS * 14);
		}

		assert.ok(planner.readHeldMillis() <= 4 * MAX_PAUSE_MILLIS, `held for ${planner.readHeldMillis()} ms`);
		assert.equal(planner.isMixed(), false);
	});

	void test(`orders that are answered late by a planner that needs ${callMillis * 2} ms for each call are not sent again`, async () => {
		const planner = createBusyPlanner({ranks: RANKS, callMillis, passMillis: PASS_MILLIS});
		await runSwitch(planner);
		assert.ok(planner.countSends() <= (RANKS * 2) + 10, `${planner.countSends()} orders`);
	});
}

void test('a third of the orders is lost: only these are sent again, and the switch completes', async () => {
	const planner = createBusyPlanner({
		ranks: RANKS, callMillis: 1, passMillis: PASS_MILLIS, isLost: (rank, count) => (rank + count) % 3 === 0,
	});
	const outcome = await runSwitch(planner);
	assert.equal(outcome?.tag, 'switched', JSON.stringify(outcome));
	assert.ok(planner.countSends() <= RANKS * 4, `${planner.countSends()} orders`);
	assert.equal(planner.isMixed(), false);
});

/** Longest time that taking a switch back may take once its planner is known to have stopped, in milliseconds: a stream pauses for as long. */
const MAX_RECOVERY_MILLIS = 1000;

for (const isPlannerAway of [true, false]) {
	const name = `a half armed group whose planner's rank is ${isPlannerAway ? 'away' : 'reachable'} is released within ${MAX_RECOVERY_MILLIS} ms`;
	void test(`${name}, while a fifth of the orders is lost`, async () => {
		const group = createBusyPlanner({
			ranks: RANKS,
			callMillis: 0.5,
			passMillis: PASS_MILLIS,
			isSilent: rank => isPlannerAway && rank === PLANNER_RANK,
			isLost: (rank, count, order) => order.tag !== 'hold' && order.tag !== 'arm' && count > 2 && (rank + count) % 5 === 0,
		});
		group.arm(2, 20, rank => rank > RANKS / 2, getAnchorRank(RANKS));
		await group.runUntil(group.clock.sleep(PASS_MILLIS * 21), PASS_MILLIS * 22);
		assert.ok(group.isHeld());
		const startedAtMillis = group.clock.monotonicMillis();
		const isEnded = await group.runUntil(recoverSwitch({
			ranks: group.ranks, clock: group.clock, log: silentLog, readExperts: async () => experts,
		}, new AbortController().signal), MAX_RECOVERY_MILLIS * 5);
		assert.equal(isEnded, true);
		assert.equal(group.isHeld(), false);
		assert.equal(group.isMixed(), false);
		const tookMillis = group.clock.monotonicMillis() - startedAtMillis;
		assert.ok(tookMillis <= MAX_RECOVERY_MILLIS, `${tookMillis} ms`);
	});
}

void test('a switch for a load that changed while the experts were copied does not hold the group', async () => {
	const planner = createBusyPlanner({ranks: RANKS, callMillis: 0.5, passMillis: PASS_MILLIS});
	const outcome = await runSwitch(planner, {...usualPlan, isOutdated: () => true});
	assert.equal(outcome?.tag, 'not_begun');
	assert.equal(planner.isHeld(), false);
});

void test('a long time for copying experts does not put the pass off at which a small group switches', async () => {
	const ranks = 12;
	const copyMillis = 400;
	const small: GroupExperts = [Array.from({length: ranks}, (_, rank) => [rank])];
	const planner = createBusyPlanner({
		ranks, callMillis: 0.3, passMillis: 35, copyMillis,
	});
	const outcome = await runSwitch(planner, {
		epoch: 1, experts: small, base: small, copyMillis,
	});
	assert.ok(outcome?.tag === 'switched', JSON.stringify(outcome));
	assert.ok(outcome.step - planner.readStep() <= 3, `${outcome.step - planner.readStep()} passes ahead`);
});
