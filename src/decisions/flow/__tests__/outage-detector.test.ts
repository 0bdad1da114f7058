import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../random.js';
import {MAX_OUTAGE_RETRY_AFTER_MILLIS, MIN_OUTAGE_RETRY_AFTER_MILLIS} from '../flow-constants.js';
import {createOutageDetector} from '../outage-detector.js';

/** Time from the loss of an engine until its group serves again, in milliseconds: restart and group forming. */
const OUTAGE_MILLIS = 2400;
const STREAM_DEADLINE_MILLIS = 8000;
const CALLS_PER_SECOND = 40;

void test('during an outage of seconds nearly all callers succeed at their first retry', () => {
	const detector = createOutageDetector(createSeededRandom(3));
	detector.noteServed(0);
	let retries = 0;
	let tooEarly = 0;
	for (let atMillis = 500; atMillis < OUTAGE_MILLIS; atMillis += 1000 / CALLS_PER_SECOND) {
		const retryAfterMillis = detector.chooseRetryAfterMillis(atMillis, STREAM_DEADLINE_MILLIS);
		assert.ok(retryAfterMillis !== undefined && retryAfterMillis >= MIN_OUTAGE_RETRY_AFTER_MILLIS && retryAfterMillis <= MAX_OUTAGE_RETRY_AFTER_MILLIS);
		retries++;
		tooEarly += Number(atMillis + retryAfterMillis < OUTAGE_MILLIS);
	}

	assert.ok(tooEarly / retries < 0.15, `${tooEarly} of ${retries} retries are too early`);
});

void test('a service that serves other requests has no outage, and one that never served has', () => {
	const detector = createOutageDetector(() => 0);
	assert.equal(detector.chooseRetryAfterMillis(10, undefined), MIN_OUTAGE_RETRY_AFTER_MILLIS);
	detector.noteServed(1000);
	assert.equal(detector.chooseRetryAfterMillis(1200, undefined), undefined);
});

void test('a caller is left time for its second attempt', () => {
	const detector = createOutageDetector(() => 0.5);
	const retryAfterMillis = detector.chooseRetryAfterMillis(10, 800);
	assert.ok(retryAfterMillis !== undefined && retryAfterMillis < 400);
});
