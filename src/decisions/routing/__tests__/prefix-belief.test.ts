import assert from 'node:assert/strict';
import {test} from 'node:test';
import {
	MAX_PREFIXES_PER_BACKEND_SERVER, noPrefixBelief, readPrefixBelief, updatePrefixBelief,
} from '../prefix-belief.js';

test('events set the belief, and age and gaps lower it', () => {
	const cached = updatePrefixBelief(noPrefixBelief, [{tag: 'cached', digest: 'p'}], 0);
	const gap = updatePrefixBelief(cached, [{tag: 'gap'}], 0);
	const evicted = updatePrefixBelief(cached, [{tag: 'evicted', digest: 'p'}], 0);
	assert.equal(readPrefixBelief(cached, 'p', 0), 1);
	assert.ok(readPrefixBelief(cached, 'p', 60_000) < 1);
	assert.ok(readPrefixBelief(gap, 'p', 0) < 1);
	assert.equal(readPrefixBelief(evicted, 'p', 0), 0);
	assert.equal(readPrefixBelief(noPrefixBelief, 'p', 0), 0);
});

test('a belief is bounded and forgets what it heard of longest ago', () => {
	const digests = Array.from({length: MAX_PREFIXES_PER_BACKEND_SERVER + 5}, (_, i) => String(i));
	const belief = updatePrefixBelief(noPrefixBelief, [{tag: 'requested', digests}], 0);
	assert.equal(belief.entries.size, MAX_PREFIXES_PER_BACKEND_SERVER);
	assert.equal(readPrefixBelief(belief, '0', 0), 0);
	assert.ok(readPrefixBelief(belief, digests.at(-1) ?? '', 0) > 0);
});
