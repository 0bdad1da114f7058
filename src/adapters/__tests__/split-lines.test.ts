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

void test('a long line in small chunks takes no time that grows with the square of its length', async () => {
	async function * chunks(): AsyncGenerator<Uint8Array, void> {
		for (let i = 0; i < 130_000; i++) {
			yield Buffer.from('12345678');
		}

		yield Buffer.from('\n');
	}

	const startedAtMillis = performance.now();
	for await (const line of splitLines(chunks())) {
		assert.equal(line.length, 1_040_000);
	}

	const tookMillis = performance.now() - startedAtMillis;
	assert.ok(tookMillis < 2000, `took ${tookMillis} ms`);
});
