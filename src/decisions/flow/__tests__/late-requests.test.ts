import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSeededRandom} from '../../random.js';
import {MAX_RETURN_WAIT_MILLIS} from '../flow-constants.js';
import {createPermitQueue} from '../permit-queue.js';

/** Requests that an entry may have in flight, and the time that each takes, in milliseconds. */
const LIMIT = 10;
const HOLD_MILLIS = 1200;
/** Longest wait after which a response can be on time, in milliseconds. */
const ON_TIME_WAIT_MILLIS = 200;
const STEP_MILLIS = 10;

type Outcome = Readonly<{arrivedAtMillis: number; result: 'on_time' | 'late' | 'refused'}>;

/** Replays a steady demand with a crowd at 1 s, as after the return of a service; requests may wait for `maxWaitMillis`. */
async function replayCrowd(maxWaitMillis: number, perSecond: number, crowd: number): Promise<readonly Outcome[]> {
	const clock = createManualClock();
	const queue = createPermitQueue({clock, random: createSeededRandom(5), readLimit: () => LIMIT});
	const outcomes: Outcome[] = [];

	async function request(): Promise<void> {
		const arrivedAtMillis = clock.monotonicMillis();
		const decision = await queue.admit({
			account: 'a', priority: 1, onTimeWaitMillis: ON_TIME_WAIT_MILLIS, maxWaitMillis,
		}, new AbortController().signal);
		const waitedMillis = clock.monotonicMillis() - arrivedAtMillis;
		if (decision.tag === 'refused') {
			outcomes.push({arrivedAtMillis, result: 'refused'});
			return;
		}

		outcomes.push({arrivedAtMillis, result: waitedMillis <= ON_TIME_WAIT_MILLIS ? 'on_time' : 'late'});
		await clock.sleep(HOLD_MILLIS);
		decision.release();
	}

	let due = 0;
	for (let millis = 0; millis < 12_000; millis += STEP_MILLIS) {
		due += millis < 9000 ? perSecond * STEP_MILLIS / 1000 : 0;
		const arriving = Math.floor(due) + (millis === 1000 ? crowd : 0);
		due -= Math.floor(due);
		for (let i = 0; i < arriving; i++) {
			void request();
		}

		clock.advance(STEP_MILLIS);
		// eslint-disable-next-line no-await-in-loop -- Time passes in steps.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	return outcomes;
}

function count(outcomes: readonly Outcome[], result: Outcome['result']): number {
	return outcomes.filter(outcome => outcome.result === result).length;
}

void test('a crowd that returns after an outage is served late instead of refused, and does not make those behind it late', async () => {
	const before = await replayCrowd(0.3 * 400, 4.5, 9);
	const now = await replayCrowd(MAX_RETURN_WAIT_MILLIS, 4.5, 9);
	assert.ok(count(now, 'refused') < count(before, 'refused') / 2, `${count(now, 'refused')} refused, ${count(before, 'refused')} before`);
	const behind = now.filter(({arrivedAtMillis}) => arrivedAtMillis > 4000);
	assert.ok(count(behind, 'on_time') >= behind.length * 0.95, `${count(behind, 'on_time')} of ${behind.length} on time`);
});

void test('at a lasting demand above the capacity, late requests don\'t take the place of those on time', async () => {
	const before = await replayCrowd(0.3 * 400, 11, 0);
	const now = await replayCrowd(MAX_RETURN_WAIT_MILLIS, 11, 0);
	assert.ok(count(now, 'on_time') >= count(before, 'on_time') * 0.95, `${count(now, 'on_time')} on time, ${count(before, 'on_time')} before`);
	assert.ok(count(now, 'refused') <= count(before, 'refused'));
});
