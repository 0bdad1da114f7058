import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createCountReceiver, createCountSender} from '../count-changes.js';

void test('counts are whole again after lost readings, a restart of the agent or of the engine, and another reader', () => {
	const receiver = createCountReceiver();
	let sender = createCountSender(100);
	const read = (counts: readonly number[]) => receiver.receive(sender.describe(counts, receiver.readNumber()));
	assert.deepEqual(read([7_000_000_000, 5]), [7_000_000_000, 5]);
	assert.deepEqual(read([7_000_000_003, 5]), [7_000_000_003, 5]);
	sender.describe([7_000_000_004, 9], receiver.readNumber());
	assert.deepEqual(read([7_000_000_009, 9]), [7_000_000_009, 9], 'a reading was lost');
	sender.describe([7_000_000_010, 9], 0);
	assert.deepEqual(read([7_000_000_011, 9]), [7_000_000_011, 9], 'another reader');
	assert.deepEqual(read([2, 1]), [2, 1], 'the engine has restarted');
	sender = createCountSender(900);
	assert.deepEqual(read([4, 4]), [4, 4], 'the agent has restarted');
	assert.deepEqual(read([4, 4, 1]), [4, 4, 1], 'another layout');
});

void test('counts that grow are sent as small numbers', () => {
	const sender = createCountSender(100);
	const first = sender.describe([1_000_000, 2_000_000], 0);
	assert.deepEqual(sender.describe([1_000_050, 2_000_000], first.number).counts, [50, 0]);
});

void test('changes of counts that the receiver no longer has are not added to others', () => {
	const receiver = createCountReceiver();
	const sender = createCountSender(100);
	const first = sender.describe([10], 0);
	receiver.receive(first);
	const second = sender.describe([12], first.number);
	receiver.receive(sender.describe([15], 0));
	assert.equal(receiver.receive(second), undefined);
});
