import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {fail, succeed} from '../../core/result.js';
import type {ObjectStore} from '../../ports/object-store.js';
import {handOverLedger, readHandedOverLedger} from '../ledger-hand-over.js';
import type {LedgerCall, LedgerOutcome} from '../ledger-types.js';
import {createLedger} from '../ledger.js';

const SEED = 20_261_203;
const LIMITS = {maxEntries: 100, maxAnswerBytes: 1000};
const UNKNOWN: LedgerOutcome = {tag: 'unknown', reason: 'backend_server_failed'};

function createCall(attemptId: string, changes: Partial<LedgerCall> = {}): LedgerCall {
	return {
		account: 'workshop', keyDigest: 'k', requestDigest: 'r', attemptId, boundIncarnation: '', ...changes,
	};
}

function createAnswer(text: string): LedgerOutcome {
	return {tag: 'answered', status: 201, body: Buffer.from(text)};
}

test('at most once: in any sequence of repeated calls, outcomes and bindings a key never runs twice at a time, and never after an outcome', () => {
	const step = fc.record({
		key: fc.nat(2),
		kind: fc.constantFrom('begin', 'finish', 'fail', 'release'),
		digest: fc.constantFrom('r', 'other'),
		bound: fc.constantFrom('', 'run-1', 'run-0'),
	});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), fc.integer({min: 1, max: 3}), (steps, maxEntries) => {
		const ledger = createLedger('run-1', {maxEntries, maxAnswerBytes: 4});
		const running = new Set<string>();
		const ended = new Set<string>();
		for (const [i, {key, kind, digest, bound}] of steps.entries()) {
			const keyDigest = `k${key}`;
			if (kind === 'begin') {
				const decision = ledger.begin(createCall(`a${i}`, {keyDigest, requestDigest: digest, boundIncarnation: bound}));
				assert.ok(decision.tag !== 'run' || (!running.has(keyDigest) && !ended.has(keyDigest) && bound !== 'run-0'));
				if (decision.tag === 'run') {
					running.add(keyDigest);
				}
			} else if (running.delete(keyDigest)) {
				if (kind === 'release') {
					ledger.release(keyDigest);
				} else {
					ledger.finish(keyDigest, kind === 'finish' ? createAnswer('ok') : UNKNOWN);
					ended.add(keyDigest);
				}
			}

			assert.ok(ledger.size() <= maxEntries);
		}
	}), {seed: SEED, numRuns: 2000});
});

test('at most once: a repeated call joins the running call and gets its outcome', async () => {
	const ledger = createLedger('run-1', LIMITS);
	ledger.begin(createCall('a1'));
	const retry = ledger.begin(createCall('a2'));
	assert.ok(retry.tag === 'join');
	ledger.finish('k', createAnswer('booked'));
	assert.deepEqual(await retry.end, createAnswer('booked'));
});

test('at most once: a call proven not to have run frees its key, and the calls that joined it get not_run', async () => {
	const ledger = createLedger('run-1', LIMITS);
	ledger.begin(createCall('a1'));
	const retry = ledger.begin(createCall('a2'));
	ledger.release('k');
	assert.deepEqual(retry.tag === 'join' && await retry.end, {tag: 'not_run'});
	assert.equal(ledger.begin(createCall('a3')).tag, 'run');
	assert.equal(ledger.hasAttempt('a1'), false);
});

test('at most once: a call without an answer stays unknown', () => {
	const ledger = createLedger('run-1', LIMITS);
	ledger.begin(createCall('a1'));
	ledger.finish('k', UNKNOWN);
	assert.deepEqual(ledger.begin(createCall('a2')), {tag: 'ended', end: UNKNOWN});
});

const refusals = [
	{fault: 'key reused with another body', call: createCall('a2', {requestDigest: 'other'}), reason: 'key_reused'},
	{fault: 'key bound to another incarnation', call: createCall('a2', {boundIncarnation: 'run-0'}), reason: 'binding_expired'},
	{fault: 'new key in a full ledger', call: createCall('a2', {keyDigest: 'k2'}), reason: 'ledger_full'},
];
for (const {fault, call, reason} of refusals) {
	test(`at most once: ${fault} is refused`, () => {
		const ledger = createLedger('run-1', {maxEntries: 1, maxAnswerBytes: 1000});
		ledger.begin(createCall('a1'));
		assert.deepEqual(ledger.begin(call), {tag: 'refused', reason});
	});
}

test('at most once: a key stays answered after its answer body was dropped', () => {
	const ledger = createLedger('run-1', {maxEntries: 10, maxAnswerBytes: 6});
	for (const keyDigest of ['k1', 'k2']) {
		ledger.begin(createCall(keyDigest, {keyDigest}));
		ledger.finish(keyDigest, createAnswer('booked'));
	}

	const retry = ledger.begin(createCall('a3', {keyDigest: 'k1'}));
	assert.deepEqual(retry, {tag: 'ended', end: {tag: 'answered', status: 201, body: undefined}});
});

function createStore(isReplyLost: boolean): ObjectStore {
	const objects = new Map<string, Uint8Array>();
	return {
		async create(key, bytes) {
			if (objects.has(key)) {
				return fail({tag: 'exists'});
			}

			objects.set(key, bytes);
			return isReplyLost ? fail({tag: 'reply_lost', detail: 'cut'}) : succeed(undefined);
		},
		read: async key => succeed(objects.get(key)),
		list: async () => succeed([]),
	};
}

test('planned stop: a handed-over ledger can be read back, also when the first reply of the store was lost', async () => {
	const ledger = createLedger('run-1', LIMITS);
	ledger.begin(createCall('a1', {keyDigest: 'k1'}));
	ledger.finish('k1', createAnswer('booked'));
	ledger.begin(createCall('a2', {keyDigest: 'k2'}));
	const store = createStore(true);
	await handOverLedger(store, 'agent-1', 'run-1', ledger.list());
	const again = await handOverLedger(store, 'agent-1', 'run-1', ledger.list());
	assert.ok(again.ok);
	const read = await readHandedOverLedger(store, 'agent-1', 'run-1');
	assert.deepEqual(read.ok && read.value.map(entry => [entry.keyDigest, entry.state, entry.status, entry.body && String(entry.body)]), [
		['k1', 'answered', 201, 'booked'],
		['k2', 'unknown', 0, undefined],
	]);
});

test('planned stop: an incarnation that handed over no ledger is distinguished from one without keys', async () => {
	const store = createStore(false);
	assert.deepEqual(await readHandedOverLedger(store, 'agent-1', 'run-1'), fail({tag: 'not_handed_over'}));
	await handOverLedger(store, 'agent-1', 'run-1', []);
	assert.deepEqual(await readHandedOverLedger(store, 'agent-1', 'run-1'), succeed([]));
});
