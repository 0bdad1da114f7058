import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../random.js';
import {MAX_OUTAGE_RETRY_AFTER_MILLIS, MIN_OUTAGE_RETRY_AFTER_MILLIS} from '../flow-constants.js';
import {createOutageDetector} from '../outage-detector.js';

/** Time from the loss of an engine until its group serves again, in milliseconds: restart and forming. */
const OUTAGE_MILLIS = 2400;
const STREAM_DEADLINE_MILLIS = 8000;
/** Calls of a second. */
const RATE = 40;

void test('load of a group that is away for seconds: nearly all callers find it back at their first return', () => {
	const watch = createOutageDetector(createSeededRandom(3));
	watch.noteServed(0);
	let returns = 0;
	let inVain = 0;
	for (let atMillis = 500; atMillis < OUTAGE_MILLIS; atMillis += 1000 / RATE) {
		const afterMillis = watch.chooseRetryAfterMillis(atMillis, STREAM_DEADLINE_MILLIS);
		assert.ok(afterMillis !== undefined && afterMillis >= MIN_OUTAGE_RETRY_AFTER_MILLIS && afterMillis <= MAX_OUTAGE_RETRY_AFTER_MILLIS);
		returns++;
		inVain += Number(atMillis + afterMillis < OUTAGE_MILLIS);
	}

	assert.ok(inVain / returns < 0.15, `${inVain} of ${returns} come back too early`);
});

void test('a service that serves others has no outage, and one that never served has', () => {
	const watch = createOutageDetector(() => 0);
	assert.equal(watch.chooseRetryAfterMillis(10, undefined), MIN_OUTAGE_RETRY_AFTER_MILLIS);
	watch.noteServed(1000);
	assert.equal(watch.chooseRetryAfterMillis(1200, undefined), undefined);
});

void test('a caller is left time for its second attempt', () => {
	const watch = createOutageDetector(() => 0.5);
	const afterMillis = watch.chooseRetryAfterMillis(10, 800);
	assert.ok(afterMillis !== undefined && afterMillis < 400);
});
