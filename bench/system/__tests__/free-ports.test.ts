import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import process from 'node:process';
import {test} from 'node:test';
import {listenOn} from '../../../src/core/listen-on.js';
import {findFreePorts, firstPortOfRange} from '../free-ports.js';

void test('a process whose range another one has claimed takes its ports from the next range', async () => {
	const first = firstPortOfRange(process.pid);
	const other = createServer();
	const listening = await listenOn(other, `127.0.0.1:${first}`);
	assert.ok(listening.ok);
	const ports = await findFreePorts(3);
	other.close();
	assert.equal(new Set(ports).size, 3);
	assert.ok(ports.every(port => port > firstPortOfRange(process.pid + 1)), `${ports.join(', ')} from ${first}`);
	const more = await findFreePorts(3);
	assert.ok(more.every(port => port > firstPortOfRange(process.pid + 1)), 'the process keeps its range');
});
