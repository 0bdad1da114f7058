import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../random.js';
import {createServerBackoff} from '../server-backoff.js';

void test('a backend server gets nothing before the time that it stated, and entries return at different times', () => {
	const backoffs = Array.from({length: 20}, (_, i) => createServerBackoff(createSeededRandom(i)));
	for (const backoff of backoffs) {
		backoff.note({server: 's1', incarnation: 7, forMillis: 2000}, 1000);
	}

	const leftMillis = backoffs.map(backoff => backoff.readLeftMillis('s1', 1000));
	assert.ok(leftMillis.every(millis => millis >= 2000 && millis <= 2400));
	assert.ok(Math.max(...leftMillis) - Math.min(...leftMillis) > 200);
	assert.equal(backoffs[0]?.readLeftMillis('s2', 1000), 0);
	assert.equal(backoffs[0]?.readLeftMillis('s1', 3400), 0);
});

void test('a shorter time that is stated later does not end a longer one', () => {
	const backoff = createServerBackoff(() => 0);
	backoff.note({server: 's1', incarnation: 7, forMillis: 5000}, 0);
	backoff.note({server: 's1', incarnation: 7, forMillis: 100}, 1000);
	assert.equal(backoff.readLeftMillis('s1', 2000), 3000);
});

void test('a pause outlasts the removal of an entry, and a restart that the list may not have shown yet', () => {
	const backoff = createServerBackoff(() => 0);
	backoff.note({server: 's1', incarnation: 7, forMillis: 20_000}, 0);
	backoff.update(() => undefined, 1000);
	assert.equal(backoff.readLeftMillis('s1', 1000), 19_000, 'not listed');
	backoff.update(() => 8, 2000);
	assert.equal(backoff.readLeftMillis('s1', 2000), 18_000, 'the list was behind');
	backoff.update(() => 8, 9000);
	assert.equal(backoff.readLeftMillis('s1', 9000), 11_000, 'no further restart');
	backoff.update(() => 9, 10_000);
	assert.equal(backoff.readLeftMillis('s1', 10_000), 0, 'it has started again');
});
