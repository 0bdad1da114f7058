import assert from 'node:assert/strict';
import {test} from 'node:test';
import {chooseLimitRetryAfter} from '../limit-retry-after.js';

for (const {name, leftMillis, range} of [
	{name: 'only other entries use the limits', leftMillis: Infinity, range: [300, 600]},
	{name: 'a request may be sent soon', leftMillis: 20, range: [300, 600]},
	{name: 'a request may be sent in a second', leftMillis: 1000, range: [1000, 2000]},
	{name: 'the limit is small', leftMillis: 60_000, range: [2500, 5000]},
]) {
	void test(`time after which a refused caller comes back: ${name}`, () => {
		assert.deepEqual([chooseLimitRetryAfter(leftMillis, () => 0), chooseLimitRetryAfter(leftMillis, () => 1)], range);
	});
}
