import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import {createSeededRandom} from '../../random.js';
import {createRetryBudget} from '../retry-budget.js';

function createBudget() {
	const clock = createManualClock();
	return {clock, budget: createRetryBudget({clock, random: createSeededRandom(1)})};
}

const req = {workClass: 'lookups', retries: 0, remainingMillis: 10_000};

function countGranted(budget: ReturnType<typeof createRetryBudget>, attempts: number, workClass: string): number {
	return Array.from({length: attempts}, () => budget.decide({...req, workClass})).filter(decision => decision.tag === 'retry').length;
}

test('retries are a share of the requests of their own class, in addition to a small reserve', () => {
	const {budget} = createBudget();
	for (let i = 0; i < 200; i++) {
		budget.noteRequest('lookups');
	}

	assert.equal(countGranted(budget, 100, 'lookups'), 23);
	assert.deepEqual(budget.decide(req), {tag: 'give_up', reason: 'budget'});
	assert.equal(countGranted(budget, 100, 'postings'), 3);
});

test('the reserve refills', () => {
	const {clock, budget} = createBudget();
	countGranted(budget, 10, 'lookups');
	clock.advance(20_000);
	assert.equal(countGranted(budget, 10, 'lookups'), 3);
});

test('no retry is granted that cannot start before the deadline or that exceeds the retry limit', () => {
	const {budget} = createBudget();
	assert.deepEqual(budget.decide({...req, remainingMillis: 5}), {tag: 'give_up', reason: 'deadline'});
	assert.deepEqual(budget.decide({...req, retries: 4}), {tag: 'give_up', reason: 'attempts'});
});

test('delays increase and have jitter', () => {
	const {budget} = createBudget();
	const delays = [0, 1, 2].map(retries => budget.decide({...req, retries})).map(decision => decision.tag === 'retry' ? decision.delayMillis : 0);
	const bounds = [[12, 25], [25, 50], [50, 100]] as const;
	for (const [i, [lowest, highest]] of bounds.entries()) {
		assert.ok((delays[i] ?? 0) >= lowest && (delays[i] ?? 0) <= highest);
	}
});
