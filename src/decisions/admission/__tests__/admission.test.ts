import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import type {WorkClass} from '../../../targets/targets.js';
import {createSeededRandom} from '../../random.js';
import type {AdmissionDecision, Admitted} from '../admission-request.js';
import {createAdmission} from '../create-admission.js';

const lookups: WorkClass = {
	name: 'lookups', service: 'model', lateAfterMillis: 1000, lateShare: 0.1, refusedShare: 0.5, idempotent: true, priority: 10, deadlineMillis: 5000,
};
const notices: WorkClass = {...lookups, name: 'notices', priority: 90};

/** A single backend server, so that four requests are admitted initially. */
const idleLoad = {
	running: 0, queued: 0, backendServers: 1, ageMillis: 0,
};
const LIMIT = 4;

function createHarness() {
	const clock = createManualClock();
	const admission = createAdmission({clock, random: createSeededRandom(1)});
	admission.noteServiceLoad('model', idleLoad);
	const decisions: Array<Readonly<{name: string; decision: AdmissionDecision}>> = [];
	const ask = (name: string, options: Partial<Readonly<{account: string; workClass: WorkClass; remainingMillis: number}>> = {}) => admission.enqueue({
		account: 'a', workClass: lookups, remainingMillis: 5000, ...options,
	}, decision => {
		decisions.push({name, decision});
	});
	const readAdmitted = (): readonly Admitted[] => decisions.flatMap(({decision}) => decision.tag === 'admitted' ? [decision] : []);
	const names = (tag: AdmissionDecision['tag']) => decisions.filter(item => item.decision.tag === tag).map(item => item.name);
	const fill = () => {
		for (let i = 0; i < LIMIT; i++) {
			ask(`filler-${i}`);
		}
	};

	/** Runs requests for `millis` each, so that admission learns how long they take. */
	const learnHoldTime = (millis: number) => {
		fill();
		clock.advance(millis);
		for (const admitted of readAdmitted()) {
			admitted.noteFirstByte();
			admitted.release();
		}

		decisions.length = 0;
	};

	return {
		clock, admission, ask, names, fill, learnHoldTime, readAdmitted, decisions,
	};
}

test('requests are admitted up to the limit, and a released permit goes to the next one', () => {
	const {ask, fill, names, readAdmitted} = createHarness();
	fill();
	ask('waiting');
	assert.deepEqual(names('admitted').length, LIMIT);
	const [first] = readAdmitted();
	first?.release();
	first?.release();
	assert.equal(names('admitted').at(-1), 'waiting');
	ask('next');
	assert.equal(names('admitted').length, LIMIT + 1);
});

test('a request that would be late is refused at once with a retry delay', () => {
	const {ask, fill, learnHoldTime, names, decisions} = createHarness();
	learnHoldTime(3000);
	fill();
	ask('late');
	assert.deepEqual(names('refused'), ['late']);
	const refused = decisions.at(-1)?.decision;
	assert.ok(refused?.tag === 'refused' && refused.reason === 'overload' && refused.retryAfterMillis >= 1000);
});

test('a request whose deadline is before the expected first byte is refused for its deadline', () => {
	const {ask, fill, learnHoldTime, decisions} = createHarness();
	learnHoldTime(400);
	fill();
	ask('short', {remainingMillis: 50});
	const refused = decisions.at(-1)?.decision;
	assert.ok(refused?.tag === 'refused' && refused.reason === 'deadline');
});

test('a waiting request is refused as soon as it is expected to be late', async () => {
	const {clock, ask, fill, learnHoldTime, names} = createHarness();
	learnHoldTime(200);
	fill();
	ask('overdue');
	assert.deepEqual(names('refused'), []);
	for (let i = 0; i < 60; i++) {
		clock.advance(20);
		// eslint-disable-next-line no-await-in-loop
		await Promise.resolve();
	}

	assert.deepEqual(names('refused'), ['overdue']);
});

test('a withdrawn request is neither admitted nor refused', () => {
	const {ask, fill, names, readAdmitted, admission} = createHarness();
	fill();
	const withdraw = ask('gone');
	withdraw();
	readAdmitted()[0]?.release();
	assert.ok(!names('admitted').includes('gone'));
	assert.equal(admission.countWaiting(), 0);
});

test('an account above its share is queued behind one within its share, its own urgent requests first', () => {
	const {clock, ask, learnHoldTime, names, readAdmitted} = createHarness();
	learnHoldTime(100);
	for (let i = 0; i < 40; i++) {
		ask(`burst-${i}`, {account: 'large'});
		clock.advance(10);
	}

	ask('urgent', {account: 'large', workClass: notices});
	ask('small', {account: 'small'});
	readAdmitted()[0]?.release();
	readAdmitted()[1]?.release();
	assert.deepEqual(names('admitted').slice(-2), ['small', 'urgent']);
	assert.ok(!names('refused').includes('small'));
});

test('callers that are refused together are told to retry at different times', () => {
	const {ask, fill, learnHoldTime, decisions} = createHarness();
	learnHoldTime(3000);
	fill();
	for (let i = 0; i < 50; i++) {
		ask(`refused-${i}`);
	}

	const times = decisions.flatMap(({decision}) => decision.tag === 'refused' ? [decision.retryAfterMillis] : []);
	const seconds = new Set(times.map(millis => Math.floor(millis / 1000)));
	assert.equal(times.length, 50);
	assert.ok(seconds.size > 25);
});

test('admit resolves with the decision, and an aborted request with a refusal', async () => {
	const {admission, fill} = createHarness();
	const admitted = await admission.admit({account: 'a', workClass: lookups, remainingMillis: 5000});
	assert.equal(admitted.tag, 'admitted');
	fill();
	const controller = new AbortController();
	const pending = admission.admit({account: 'a', workClass: lookups, remainingMillis: 5000}, controller.signal);
	controller.abort();
	const aborted = await pending;
	const alreadyAborted = await admission.admit({account: 'a', workClass: lookups, remainingMillis: 5000}, controller.signal);
	assert.deepEqual([aborted.tag, alreadyAborted.tag], ['refused', 'refused']);
	assert.equal(admission.countWaiting(), 1);
});
