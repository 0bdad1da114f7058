import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {after, test} from 'node:test';
import {createLifeCycle} from '../../core/life-cycle.js';
import {silentLog} from '../../observability/log.js';
import {openUdpSocket} from '../udp-socket.js';

const lifeCycle = createLifeCycle();
after(async () => lifeCycle.shutdown());

async function open() {
	const socket = await openUdpSocket('127.0.0.1:0', lifeCycle, silentLog);
	assert.ok(socket.ok);
	return socket.value;
}

void test('a datagram arrives with the address of its sender', async () => {
	const [one, two] = [await open(), await open()];
	const received = new Promise<readonly [string, string]>(resolve => {
		const unregister = two.registerListener((bytes, from) => {
			unregister();
			resolve([Buffer.from(bytes).toString(), from]);
		});
	});
	one.send(`127.0.0.1:${two.port}`, Buffer.from('hello'));
	assert.deepEqual(await received, ['hello', `127.0.0.1:${one.port}`]);
});

void test('a port that is in use is an error that names the address', async () => {
	const one = await open();
	const second = await openUdpSocket(`127.0.0.1:${one.port}`, lifeCycle, silentLog);
	assert.ok(!second.ok);
	assert.equal(second.error.address, `127.0.0.1:${one.port}`);
});

void test('sending to an address with a port out of range does not throw', async () => {
	const socket = await open();
	for (const address of ['127.0.0.1:99999', '127.0.0.1:0', '...:80', 'nobody']) {
		socket.send(address, Buffer.from('x'));
	}
});

void test('sending after the shutdown, or to nobody, is a lost datagram', async () => {
	const other = createLifeCycle();
	const socket = await openUdpSocket('127.0.0.1:0', other, silentLog);
	assert.ok(socket.ok);
	socket.value.send('127.0.0.1:9', Buffer.from('x'));
	await other.shutdown();
	socket.value.send('127.0.0.1:9', Buffer.from('x'));
});
