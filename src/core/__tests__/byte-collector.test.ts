import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {test} from 'node:test';
import fc from 'fast-check';
import {createByteCollector} from '../byte-collector.js';

void test('no byte is lost, repeated or changed, whatever the sizes of the pieces', () => {
	fc.assert(fc.property(fc.array(fc.oneof(fc.nat(20), fc.nat(5000))), fc.nat(200), (sizes, peekAt) => {
		const collector = createByteCollector();
		const pieces = sizes.map((size, i) => Buffer.alloc(size, i));
		for (const [i, piece] of pieces.entries()) {
			collector.append(piece);
			if (i === peekAt) {
				assert.deepEqual(Buffer.from(collector.peek()), Buffer.concat(pieces.slice(0, i + 1)));
			}
		}

		const whole = Buffer.concat(pieces);
		assert.equal(collector.size(), whole.length);
		assert.deepEqual(Buffer.from(collector.take()), whole);
		assert.equal(collector.size(), 0);
		collector.append(Buffer.from('x'));
		assert.deepEqual(Buffer.from(collector.take()), Buffer.from('x'));
	}));
});

void test('a body in single bytes takes time in proportion to its length', () => {
	const collector = createByteCollector();
	const piece = Buffer.from('x');
	const startedAtMillis = performance.now();
	for (let i = 0; i < 2_000_000; i++) {
		collector.append(piece);
	}

	assert.equal(collector.take().length, 2_000_000);
	const tookMillis = performance.now() - startedAtMillis;
	assert.ok(tookMillis < 2000, `took ${tookMillis} ms`);
});
