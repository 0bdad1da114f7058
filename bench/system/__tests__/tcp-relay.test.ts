import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {test} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {startTcpRelay} from '../tcp-relay.js';

/** Blocks the event loop, as under load; timers set afterwards count from a clock reading that is out of date. */
function blockEventLoop(millis: number): void {
	const dueMillis = performance.now() + millis;
	while (performance.now() < dueMillis) {
		// Busy waiting.
	}
}

void test('bytes arrive in order, also when the delay ends while some are in transit', async () => {
	for (let round = 0; round < 10; round++) {
		const pieces = Array.from({length: 12}, (_, i) => `${i} `);
		/* eslint-disable no-await-in-loop -- One connection at a time. */
		let received = '';
		const server = createServer(socket => {
			socket.setEncoding('utf8');
			socket.on('data', text => {
				received += String(text);
			});
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const bound = server.address();
		assert.ok(typeof bound === 'object' && bound);
		const relay = await startTcpRelay({port: 0}, bound.port);
		relay.delay(60);
		const client = connect(Number(relay.address.split(':')[1]), '127.0.0.1');
		client.setNoDelay(true);
		for (const [i, piece] of pieces.entries()) {
			client.write(piece);
			await wait(8);
			blockEventLoop(round * 2);
			if (i === 7) {
				relay.heal();
			}
		}

		await wait(120);
		client.destroy();
		await relay.close();
		server.close();
		/* eslint-enable no-await-in-loop */
		assert.equal(received, pieces.join(''), `round ${round}`);
	}
});

void test('a slow link with a small buffer holds its sender back and delivers all that was sent before the connection closed', async () => {
	const size = 10_000_000;
	let isSent = false;
	const server = createServer(socket => {
		socket.end(Buffer.alloc(size), () => {
			isSent = true;
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const bound = server.address();
	assert.ok(typeof bound === 'object' && bound);
	const relay = await startTcpRelay({port: 0}, bound.port, {delayMillis: 20, bytesPerSecond: 20_000_000, bufferBytes: 65_536});
	const client = connect(Number(relay.address.split(':')[1]), '127.0.0.1');
	let received = 0;
	client.on('data', bytes => {
		received += bytes.length;
	});
	const startedAtMillis = performance.now();
	await wait(200);
	assert.equal(isSent, false);
	await once(client, 'end');
	assert.ok(performance.now() - startedAtMillis > 450);
	assert.equal(received, size);
	client.destroy();
	await relay.close();
	server.close();
});
