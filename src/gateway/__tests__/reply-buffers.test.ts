import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {createReplyBuffers} from '../reply-buffers.js';

function createWorld() {
	const clock = createManualClock();
	const buffers = createReplyBuffers({clock, maxBytes: 1000});
	const givenUp: string[] = [];
	function open(name: string) {
		let writtenBytes = 0;
		let readBytes = 0;
		const remove = buffers.add({
			readWrittenBytes: () => writtenBytes,
			readBufferedBytes: () => writtenBytes - readBytes,
			giveUp({cause}) {
				givenUp.push(`${name} ${cause}`);
			},
		});
		return {
			remove,
			write(bytes: number) {
				writtenBytes += bytes;
				buffers.noteWritten(bytes);
			},
			read(bytes: number) {
				readBytes += bytes;
			},
		};
	}

	function pass(seconds: number, each: () => void = () => undefined): void {
		for (let i = 0; i < seconds; i++) {
			clock.advance(1000);
			each();
			buffers.check();
		}
	}

	return {
		clock, buffers, givenUp, open, pass,
	};
}

void test('a steady reader keeps its answer, and one that stops is given up after 10 s', () => {
	const {givenUp, open, pass} = createWorld();
	const [steady, stopped] = [open('steady'), open('stopped')];
	steady.write(500);
	stopped.write(100);
	pass(9, () => {
		steady.read(5);
	});
	assert.deepEqual(givenUp, []);
	pass(20, () => {
		steady.read(5);
	});
	assert.deepEqual(givenUp, ['stopped stalled']);
});

void test('bytes that were read are no reason to give anybody up, and the bound holds at once', () => {
	const {givenUp, open, pass} = createWorld();
	const [fast, slow] = [open('fast'), open('slow')];
	slow.write(300);
	for (let i = 0; i < 50; i++) {
		fast.write(600);
		fast.read(600);
	}

	assert.deepEqual(givenUp, []);
	pass(2);
	fast.write(900);
	assert.deepEqual(givenUp, ['slow memory']);
	fast.remove();
});

/** Guards against giving up all callers after a freeze of the process, in which they may have read without being seen. */
void test('a process that was frozen does not take the time for a stall of its callers', () => {
	const {clock, buffers, givenUp, open, pass} = createWorld();
	open('reader').write(100);
	pass(3);
	clock.advance(30_000);
	buffers.check();
	assert.deepEqual(givenUp, []);
	pass(5);
	assert.deepEqual(givenUp, ['reader stalled']);
});
