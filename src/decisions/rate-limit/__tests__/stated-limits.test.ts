import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createStatedLimits, type StatedLimit} from '../stated-limits.js';

function create() {
	const clock = createManualClock();
	const incarnations = new Map([['s1', 1], ['s2', 1]]);
	const limits = createStatedLimits({clock, readIncarnation: server => incarnations.get(server)});
	const changes: Array<number | undefined> = [];
	limits.registerListener(({requestsPerSecond}) => {
		changes.push(requestsPerSecond);
	});
	clock.advance(1000);
	return {
		clock, incarnations, limits, changes, note(requestsPerSecond: number | undefined, sentAtMillis = clock.monotonicMillis()) {
			limits.note({
				server: 's1', incarnation: 1, requestsPerSecond, sentAtMillis,
			});
		},
	};
}

const told: StatedLimit = {
	server: 's1', incarnation: 1, requestsPerSecond: 2, atMillis: 900,
};

void test('a limit holds until an answer to a later request states none', () => {
	const {clock, limits, changes, note} = create();
	note(2);
	clock.advance(100);
	note(2);
	note(undefined, 1050);
	assert.equal(limits.read('s1'), 2, 'the answer may have been written before the limit was stated');
	note(undefined, 1101);
	assert.equal(limits.read('s1'), undefined);
	assert.deepEqual(changes, [2, undefined]);
});

void test('a backend server that has started again has no limit, and its former answers state none', () => {
	const {incarnations, limits, note} = create();
	note(2);
	incarnations.set('s1', 2);
	limits.retain();
	assert.equal(limits.read('s1'), undefined);
	note(3);
	limits.merge([told]);
	assert.equal(limits.read('s1'), undefined);
	assert.deepEqual(limits.list(), []);
});

void test('of what two entries saw, the later holds at both', () => {
	const {limits, changes, note} = create();
	limits.merge([told]);
	assert.equal(limits.read('s1'), 2);
	note(undefined);
	limits.merge([told]);
	assert.equal(limits.read('s1'), undefined, 'older news changes nothing');
	limits.merge([{...told, atMillis: 1200, requestsPerSecond: 5}]);
	assert.equal(limits.read('s1'), 5);
	assert.deepEqual(changes, [2, undefined, 5]);
});

void test('two entries with the same limits have the same digest, whatever ended meanwhile', () => {
	const [left, right] = [create(), create()];
	left.note(2);
	right.limits.merge([told]);
	assert.equal(left.limits.readDigest(), right.limits.readDigest());
	left.note(undefined, 2000);
	assert.notEqual(left.limits.readDigest(), right.limits.readDigest());
	assert.equal(left.limits.readDigest(), create().limits.readDigest());
});
