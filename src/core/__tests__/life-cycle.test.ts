import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLifeCycle} from '../life-cycle.js';

test('clean-ups run once, in reverse order of registration, and one that throws does not stop the others', async () => {
	const order: string[] = [];
	const lifeCycle = createLifeCycle();
	lifeCycle.own('first', () => {
		order.push('first');
	});
	lifeCycle.own('faulty', () => {
		throw new Error('cannot close');
	});
	lifeCycle.own('last', () => {
		order.push('last');
	});

	const failures = await lifeCycle.shutdown();
	await lifeCycle.shutdown();

	assert.deepEqual(order, ['last', 'first']);
	assert.deepEqual(failures.map(failure => failure.name), ['faulty']);
	assert.ok(lifeCycle.signal.aborted);
});
