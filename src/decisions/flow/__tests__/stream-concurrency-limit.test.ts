import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TARGET_PAUSE_RATIO, INITIAL_BATCH_SHARE, MIN_BATCH_SHARE} from '../flow-constants.js';
import {createStreamConcurrencyLimit, isInterruption, predictLimit} from '../stream-concurrency-limit.js';

const SLOTS = 16;
const INTERVAL_MILLIS = 50;

/** Simulates a lock-step group whose pauses, as a ratio to their target, depend on the requests in flight. */
function replay(limit: ReturnType<typeof createStreamConcurrencyLimit>, seconds: number, readRatio: (inFlight: number) => number, demand: number): void {
	for (let millis = 0; millis < seconds * 1000; millis += INTERVAL_MILLIS) {
		const inFlight = Math.max(1, Math.min(demand, Math.floor(limit.read())));
		for (let i = 0; i < inFlight; i++) {
			limit.notePause(readRatio(inFlight), inFlight, (replayedMillis += INTERVAL_MILLIS / inFlight));
		}
	}
}

let replayedMillis = 0;

void test('the predicted limit is higher for pauses below the target and lower for pauses above it', () => {
	assert.equal(predictLimit(TARGET_PAUSE_RATIO, 10), 10);
	assert.ok(predictLimit(0.5, 10) > 15);
	assert.ok(predictLimit(2, 10) < 5);
	assert.equal(predictLimit(5, 10), 0);
});

void test('an overloaded group is back on time within seconds', () => {
	const limit = createStreamConcurrencyLimit();
	limit.setSlots(SLOTS);
	const readRatio = (inFlight: number) => 0.4 + (0.1 * inFlight);
	replay(limit, 4, readRatio, SLOTS);
	assert.ok(readRatio(Math.floor(limit.read())) <= 1, `limit ${limit.read()}`);
	assert.ok(readRatio(Math.ceil(limit.read() + 2)) > TARGET_PAUSE_RATIO, `limit ${limit.read()} leaves room unused`);
});

void test('the limit increases to all slots once pauses are short', () => {
	const limit = createStreamConcurrencyLimit();
	limit.setSlots(SLOTS);
	replay(limit, 3, () => 3, SLOTS);
	assert.ok(limit.read() >= SLOTS * MIN_BATCH_SHARE, 'the limit stays above its minimum, so that pauses can be measured');
	assert.ok(limit.read() < SLOTS * MIN_BATCH_SHARE * 1.2, `limit ${limit.read()}`);
	replay(limit, 12, () => 0.4, SLOTS);
	assert.ok(limit.read() > SLOTS * 0.9, `limit ${limit.read()}`);
});

void test('a pause that a switch of the expert map makes is no load, and the pauses of an overloaded group are', () => {
	const calm = 0.45;
	assert.equal(isInterruption(2, calm), true, 'every stream of the group pauses once');
	assert.equal(isInterruption(0.95, calm), false, 'a pause on time counts');
	const rising = [0.6, 0.9, 1.3, 1.9, 1.8];
	assert.ok(!rising.some((ratio, i) => isInterruption(ratio, rising[i - 1])));
	const shifted = [calm, 2.4, 2.4, 2.3];
	assert.deepEqual(shifted.map((ratio, i) => isInterruption(ratio, shifted[i - 1])), [false, true, false, false], 'a lasting slowness counts from its second pause on');
	assert.equal(isInterruption(3, undefined), false);
});

void test('the limit keeps its share of the slots when engines or processes join and leave', () => {
	const limit = createStreamConcurrencyLimit();
	limit.setSlots(SLOTS);
	assert.equal(limit.read(), SLOTS * INITIAL_BATCH_SHARE);
	limit.setSlots(SLOTS / 2);
	assert.equal(limit.read(), SLOTS * INITIAL_BATCH_SHARE / 2);
	limit.setSlots(0);
	assert.equal(limit.read(), 1, 'one request is always allowed');
});
