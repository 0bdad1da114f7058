import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	MAX_PREFIXES_PER_BACKEND_SERVER, emptyCachedPrefixEstimate, readCachedProbability, updateCachedPrefixEstimate,
} from '../cached-prefix-estimate.js';

test('events set the belief, and age and gaps lower it', () => {
	const cached = updateCachedPrefixEstimate(emptyCachedPrefixEstimate, [{tag: 'cached', digest: 'p'}], 0);
	const gap = updateCachedPrefixEstimate(cached, [{tag: 'gap'}], 0);
	const evicted = updateCachedPrefixEstimate(cached, [{tag: 'evicted', digest: 'p'}], 0);
	assert.equal(readCachedProbability(cached, 'p', 0), 1);
	assert.ok(readCachedProbability(cached, 'p', 60_000) < 1);
	assert.ok(readCachedProbability(gap, 'p', 0) < 1);
	assert.equal(readCachedProbability(evicted, 'p', 0), 0);
	assert.equal(readCachedProbability(emptyCachedPrefixEstimate, 'p', 0), 0);
});

test('a belief is bounded and forgets what it heard of longest ago', () => {
	const digests = Array.from({length: MAX_PREFIXES_PER_BACKEND_SERVER + 5}, (_, i) => String(i));
	const belief = updateCachedPrefixEstimate(emptyCachedPrefixEstimate, [{tag: 'requested', digests}], 0);
	assert.equal(belief.entries.size, MAX_PREFIXES_PER_BACKEND_SERVER);
	assert.equal(readCachedProbability(belief, '0', 0), 0);
	assert.ok(readCachedProbability(belief, digests.at(-1) ?? '', 0) > 0);
});
