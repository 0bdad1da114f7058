import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSeededRandom} from '../../random.js';
import type {Candidate, RoutingRequest} from '../candidate.js';
import {chooseBackendServer} from '../choose-backend-server.js';
import {emptyCachedPrefixEstimate, updateCachedPrefixEstimate} from '../cached-prefix-estimate.js';

const idle: Candidate = {
	agentId: 'idle',
	failureDomain: 'a',
	ownInFlight: 0,
	ownPrefillMillis: 0,
	othersInFlight: 0,
	queued: 0,
	oldestWaitMillis: 0,
	slowFactor: 1,
	isStalled: false,
	prefixes: emptyCachedPrefixEstimate,
};

const req: RoutingRequest = {
	prefixes: [{digest: 'long', tokens: 800}, {digest: 'short', tokens: 100}],
	promptTokens: 1000,
	failureDomain: 'a',
	priority: 0,
	remainingMillis: 1000,
	nowMillis: 0,
};

const holdsLong = updateCachedPrefixEstimate(emptyCachedPrefixEstimate, [{tag: 'cached', digest: 'long'}], 0);

const cases: ReadonlyArray<Readonly<{name: string; other: Partial<Candidate>; expected: 'idle' | 'other'}>> = [
	{name: 'more in flight', other: {ownInFlight: 3}, expected: 'idle'},
	{name: 'a queue', other: {queued: 2}, expected: 'idle'},
	{name: 'a slow engine', other: {slowFactor: 3}, expected: 'idle'},
	{name: 'another failure domain', other: {failureDomain: 'b'}, expected: 'idle'},
	{name: 'an attempt that waits for long', other: {oldestWaitMillis: 2000}, expected: 'idle'},
	{name: 'a stalled one that holds the prefix', other: {isStalled: true, prefixes: holdsLong}, expected: 'idle'},
	{name: 'the prefix and a few requests', other: {ownInFlight: 3, prefixes: holdsLong}, expected: 'other'},
	{name: 'the prefix and a long queue', other: {queued: 20, prefixes: holdsLong}, expected: 'idle'},
];

for (const {name, other, expected} of cases) {
	test(`an idle backend server against ${name}`, () => {
		const chosen = chooseBackendServer([{...idle, ...other, agentId: 'other'}, idle], req, createSeededRandom(1));
		assert.equal(chosen?.agentId, expected);
	});
}

test('a stalled backend server is used when there is no other, and nothing is chosen from nothing', () => {
	assert.equal(chooseBackendServer([{...idle, isStalled: true}], req, createSeededRandom(1))?.agentId, 'idle');
	assert.equal(chooseBackendServer([], req, createSeededRandom(1)), undefined);
});

test('equal backend servers are chosen evenly by entries that know the same', () => {
	const candidates = Array.from({length: 40}, (_, i) => ({...idle, agentId: String(i)}));
	const chosen = Array.from({length: 200}, (_, seed) => chooseBackendServer(candidates, req, createSeededRandom(seed))?.agentId);
	assert.ok(new Set(chosen).size > 30);
});
