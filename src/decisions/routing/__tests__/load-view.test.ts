import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createLoadView} from '../load-view.js';

const expectation = {nominalMillis: 100, prefillMillis: 50, prefixDigests: ['p']};
const report = {
	running: 10, queued: 0, ageMillis: 1000, cacheEvents: [],
};

function createView() {
	const clock = createManualClock();
	const view = createLoadView(clock);
	view.addBackendServer('a', 'domain-1');
	view.addBackendServer('b', 'domain-2');
	const read = (agentId: string) => {
		const candidate = view.listCandidates([agentId])[0];
		assert.ok(candidate);
		return candidate;
	};

	return {clock, view, read};
}

test('own attempts count at once and are not counted again in the reports that know them', () => {
	const {clock, view, read} = createView();
	view.startAttempt('a', expectation);
	assert.equal(read('a').ownInFlight, 1);
	clock.advance(2000);
	view.noteReport('a', report);
	assert.equal(read('a').othersInFlight, 9);
});

test('a report fades towards the mean of all backend servers', () => {
	const {clock, view} = createView();
	view.noteReport('a', report);
	view.noteReport('b', {...report, running: 0});
	const [before] = view.listCandidates(['a', 'b']);
	clock.advance(2500);
	const [after] = view.listCandidates(['a', 'b']);
	assert.ok(before && after && before.othersInFlight > after.othersInFlight && after.othersInFlight > 5);
});

test('slow first tokens raise the slow factor, which returns once they are not seen any more', () => {
	const {clock, view, read} = createView();
	for (let i = 0; i < 10; i++) {
		const attempt = view.startAttempt('a', expectation);
		clock.advance(400);
		attempt.noteFirstToken();
		attempt.end();
	}

	const slow = read('a').slowFactor;
	clock.advance(100_000);
	assert.ok(slow > 2);
	assert.ok(read('a').slowFactor < slow / 1.5);
	assert.ok(read('b').slowFactor < slow);
});

test('a backend server without progress or heartbeat is stalled until it is heard of again', () => {
	const {clock, view, read} = createView();
	const attempt = view.startAttempt('a', expectation);
	clock.advance(2000);
	assert.ok(read('a').isStalled);
	assert.ok(!read('b').isStalled);
	assert.equal(read('a').oldestWaitMillis, 2000);
	attempt.noteFirstToken();
	assert.ok(!read('a').isStalled);
	attempt.end();
	attempt.end();
	clock.advance(5000);
	assert.ok(read('a').isStalled && read('b').isStalled);
	view.noteReport('b', report);
	assert.ok(!read('b').isStalled);
});

test('attempts at a backend server that was removed change nothing', () => {
	const {view} = createView();
	view.removeBackendServer('a');
	view.startAttempt('a', expectation).end();
	assert.deepEqual(view.listCandidates(['a']), []);
});

test('attempts that end while no report comes are kept in bounded number', () => {
	const {clock, view, read} = createView();
	for (let i = 0; i < 3000; i++) {
		const attempt = view.startAttempt('a', expectation);
		clock.advance(1);
		attempt.end();
	}

	const overlapping = Array.from({length: 1500}, () => view.startAttempt('a', expectation));
	clock.advance(10);
	for (const attempt of overlapping) {
		attempt.end();
	}

	view.noteReport('a', {
		...report, running: 1500, ageMillis: 5,
	});
	assert.equal(read('a').othersInFlight, 500);
});
