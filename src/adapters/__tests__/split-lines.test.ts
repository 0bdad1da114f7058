import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import {splitLines} from '../split-lines.js';

async function * repeat(text: string): AsyncGenerator<Uint8Array, void> {
	for (;;) {
		yield Buffer.from(text);
	}
}

void test('a line without end is an error', async () => {
	await assert.rejects(async () => {
		for await (const line of splitLines(repeat('x'.repeat(10_000)))) {
			assert.fail(line);
		}
	}, /line of more than/v);
});

void test('lines are split wherever chunks end', async () => {
	async function * chunks(): AsyncGenerator<Uint8Array, void> {
		yield Buffer.from('on');
		yield Buffer.from('e\ntwo\nth');
	}

	const lines: string[] = [];
	for await (const line of splitLines(chunks())) {
		lines.push(line);
	}

	assert.deepEqual(lines, ['one', 'two']);
});
