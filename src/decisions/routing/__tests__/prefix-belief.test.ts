import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	MAX_PREFIXES_PER_BACKEND_SERVER, noPrefixBelief, readPrefixBelief, updatePrefixBelief,
} from '../prefix-belief.js';

test('events set the probability, and age and lost events lower it', () => {
	const cached = updatePrefixBelief(noPrefixBelief, [{tag: 'cached', digest: 'p'}], 0);
	const gap = updatePrefixBelief(cached, [{tag: 'gap'}], 0);
	const evicted = updatePrefixBelief(cached, [{tag: 'evicted', digest: 'p'}], 0);
	assert.equal(readPrefixBelief(cached, 'p', 0), 1);
	assert.ok(readPrefixBelief(cached, 'p', 60_000) < 1);
	assert.ok(readPrefixBelief(gap, 'p', 0) < 1);
	assert.equal(readPrefixBelief(evicted, 'p', 0), 0);
	assert.equal(readPrefixBelief(noPrefixBelief, 'p', 0), 0);
});

test('an estimate is bounded and drops the least recently updated prefixes', () => {
	const digests = Array.from({length: MAX_PREFIXES_PER_BACKEND_SERVER + 5}, (_, i) => String(i));
	const estimate = updatePrefixBelief(noPrefixBelief, [{tag: 'requested', digests}], 0);
	assert.equal(estimate.entries.size, MAX_PREFIXES_PER_BACKEND_SERVER);
	assert.equal(readPrefixBelief(estimate, '0', 0), 0);
	assert.ok(readPrefixBelief(estimate, digests.at(-1) ?? '', 0) > 0);
});
