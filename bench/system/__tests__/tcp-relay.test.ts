import assert from 'node:assert/strict';
import {once} from 'node:events';
import {connect, createServer} from 'node:net';
import {test} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {startTcpRelay} from '../tcp-relay.js';

/** Keeps this process from doing anything else, as under load; its timers are then set from a time that has passed. */
function block(millis: number): void {
	const dueMillis = performance.now() + millis;
	while (performance.now() < dueMillis) {
		// Nothing else runs.
	}
}

void test('bytes arrive in their order, also when the delay ends while some are on their way', async () => {
	for (let round = 0; round < 10; round++) {
		const pieces = Array.from({length: 12}, (_, i) => `${i} `);
		/* eslint-disable no-await-in-loop -- One connection after the other. */
		let seen = '';
		const server = createServer(socket => {
			socket.setEncoding('utf8');
			socket.on('data', text => {
				seen += String(text);
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
			block(round * 2);
			if (i === 7) {
				relay.heal();
			}
		}

		await wait(120);
		client.destroy();
		await relay.close();
		server.close();
		/* eslint-enable no-await-in-loop */
		assert.equal(seen, pieces.join(''), `round ${round}`);
	}
});
