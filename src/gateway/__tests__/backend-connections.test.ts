import assert from 'node:assert/strict';
import {createServer} from 'node:net';
import {test} from 'node:test';
import {createLifeCycle} from '../../core/life-cycle.js';
import {listenOn} from '../../core/listen-on.js';
import {systemClock} from '../../core/system-clock.js';
import {createBackendConnections} from '../backend-connections.js';

const ADDRESSES = ['10.0.0.1:99999', '10.0.0.1:0', '999.1.1.1:80', '...:80', ''];

for (const address of ADDRESSES) {
	void test(`a request to "${address}", which is no address, fails without an exception, and nothing listens there`, async () => {
		const connections = createBackendConnections({clock: systemClock, lifeCycle: createLifeCycle()});
		let wasSent = false;
		const error = await new Promise<string | undefined>(resolve => {
			connections.send(address, {
				method: 'GET', path: '/', headers: [], body: new Uint8Array(0), allowsLongIdleConnection: true, maxIdleConnections: 1,
			}, {
				onSent() {
					wasSent = true;
				},
				onHead: () => true,
				onData: () => undefined,
				onEnd: resolve,
				onLateHead: () => undefined,
			});
		});
		assert.match(error ?? '', /not an address/v);
		assert.equal(wasSent, false);
		assert.equal(await connections.isListening(address), false);
	});
}

type End = 'orderly' | 'reset';
type Written = Readonly<{name: string; rest: string; end: End; isWhole: boolean}>;

const endings: readonly Written[] = [
	{
		name: 'a reset, without framing', rest: '\r\nabc', end: 'reset', isWhole: false,
	},
	{
		name: 'a reset, in chunks', rest: 'Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n', end: 'reset', isWhole: false,
	},
	{
		name: 'a reset, short of its length', rest: 'Content-Length: 9\r\n\r\nabc', end: 'reset', isWhole: false,
	},
	{
		name: 'an orderly end short of its length', rest: 'Content-Length: 9\r\n\r\nabc', end: 'orderly', isWhole: false,
	},
	{
		name: 'an orderly end, without framing', rest: '\r\nabc', end: 'orderly', isWhole: true,
	},
	{
		name: 'an orderly end after its last byte', rest: 'Content-Length: 3\r\n\r\nabc', end: 'orderly', isWhole: true,
	},
];

// The HTTP client's own pause fails an assertion, which ends the process, if the connection ends during it.
for (const {name, rest, end, isWhole} of endings) {
	void test(`the end of a paused exchange does not end the process (${name})`, async () => {
		const server = createServer(socket => {
			socket.on('error', () => undefined);
			socket.once('data', () => {
				socket.write(`HTTP/1.1 200 OK\r\nConnection: close\r\n${rest}`);
				setTimeout(() => {
					if (end === 'reset') {
						socket.resetAndDestroy();
					} else {
						socket.end();
					}
				}, 50);
			});
		});
		const listening = await listenOn(server, '127.0.0.1:0');
		assert.ok(listening.ok);
		const lifeCycle = createLifeCycle();
		const connections = createBackendConnections({clock: systemClock, lifeCycle});
		const error = await new Promise<string | undefined>(resolve => {
			const exchange = connections.send(`127.0.0.1:${listening.value}`, {
				method: 'GET', path: '/', headers: [], body: new Uint8Array(0), allowsLongIdleConnection: true, maxIdleConnections: 1,
			}, {
				onSent: () => undefined,
				onHead: () => true,
				onData() {
					exchange.pause();
					setTimeout(exchange.resume, 150);
				},
				onEnd: resolve,
				onLateHead: () => undefined,
			});
		});
		assert.equal(error === undefined, isWhole, error);
		await lifeCycle.shutdown();
		server.close();
	});
}
