import assert from 'node:assert/strict';
import {test} from 'node:test';
import {TARGET_PAUSE_RATIO, INITIAL_BATCH_SHARE, MIN_BATCH_SHARE} from '../flow-constants.js';
import {createStreamConcurrencyLimit, predictLimit} from '../stream-concurrency-limit.js';

const PLACES = 16;
const INTERVAL_MILLIS = 50;

/** A lock-step group whose pauses grow with the requests in flight, as a share of their target. */
function replay(limit: ReturnType<typeof createStreamConcurrencyLimit>, seconds: number, readRatio: (inFlight: number) => number, demand: number): void {
	for (let millis = 0; millis < seconds * 1000; millis += INTERVAL_MILLIS) {
		const inFlight = Math.max(1, Math.min(demand, Math.floor(limit.read())));
		for (let i = 0; i < inFlight; i++) {
			limit.notePause(readRatio(inFlight), inFlight, (replayedMillis += INTERVAL_MILLIS / inFlight));
		}
	}
}

let replayedMillis = 0;

void test('the limit is predicted from pauses: more room below the aim, less above it', () => {
	assert.equal(predictLimit(TARGET_PAUSE_RATIO, 10), 10);
	assert.ok(predictLimit(0.5, 10) > 15);
	assert.ok(predictLimit(2, 10) < 5);
	assert.equal(predictLimit(5, 10), 0);
});

void test('a group that collapses under load is back on time within seconds', () => {
	const limit = createStreamConcurrencyLimit();
	limit.setSlots(PLACES);
	const readRatio = (inFlight: number) => 0.4 + (0.1 * inFlight);
	replay(limit, 4, readRatio, PLACES);
	assert.ok(readRatio(Math.floor(limit.read())) <= 1, `limit ${limit.read()}`);
	assert.ok(readRatio(Math.ceil(limit.read() + 2)) > TARGET_PAUSE_RATIO, `limit ${limit.read()} leaves room unused`);
});

void test('the limit grows back to all places once pauses are short', () => {
	const limit = createStreamConcurrencyLimit();
	limit.setSlots(PLACES);
	replay(limit, 3, () => 3, PLACES);
	assert.ok(limit.read() >= PLACES * MIN_BATCH_SHARE, 'it never goes lower, so that it sees pauses');
	assert.ok(limit.read() < PLACES * MIN_BATCH_SHARE * 1.2, `limit ${limit.read()}`);
	replay(limit, 12, () => 0.4, PLACES);
	assert.ok(limit.read() > PLACES * 0.9, `limit ${limit.read()}`);
});

void test('the limit keeps its share when engines or processes come and go', () => {
	const limit = createStreamConcurrencyLimit();
	limit.setSlots(PLACES);
	assert.equal(limit.read(), PLACES * INITIAL_BATCH_SHARE);
	limit.setSlots(PLACES / 2);
	assert.equal(limit.read(), PLACES * INITIAL_BATCH_SHARE / 2);
	limit.setSlots(0);
	assert.equal(limit.read(), 1, 'one request may always try');
});
