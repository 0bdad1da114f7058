import assert from 'node:assert/strict';
import {once} from 'node:events';
import process from 'node:process';
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

void test('a clean-up that is registered during the shutdown runs before it ends, and its failure is reported', async () => {
	const order: string[] = [];
	const lifeCycle = createLifeCycle();
	lifeCycle.own('first', async () => {
		lifeCycle.own('late', async () => {
			await Promise.resolve();
			order.push('late');
			throw new Error('cannot close');
		});
		order.push('first');
	});
	const failures = await lifeCycle.shutdown();
	assert.deepEqual(order, ['first', 'late']);
	assert.deepEqual(failures.map(({name}) => name), ['late']);
});

void test('a clean-up that is registered after the shutdown runs at once, and its failure becomes a warning', async () => {
	const lifeCycle = createLifeCycle();
	await lifeCycle.shutdown();
	const warned = once(process, 'warning');
	lifeCycle.own('late', async () => {
		throw new Error('cannot close');
	});
	const args: readonly unknown[] = await warned;
	const [warning] = args;
	assert.ok(warning instanceof Error);
	assert.match(warning.message, /late.*cannot close/v);
});
