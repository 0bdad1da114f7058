import assert from 'node:assert/strict';
import {test} from 'node:test';
import {systemClock} from '../system-clock.js';

void test('a sleep longer than the longest timer does not end at once', async () => {
	const ending = new AbortController();
	let hasEnded = false;
	const sleeping = systemClock.sleep(1e308, ending.signal).then(() => {
		hasEnded = true;
	});
	await systemClock.sleep(20);
	assert.equal(hasEnded, false);
	ending.abort();
	await sleeping;
});
