import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {createConnection, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import {listenOn} from '../../core/listen-on.js';
import {systemClock} from '../../core/system-clock.js';
import {manageConnections, type ExchangeEnd} from '../http-connections.js';

/** More than the kernel keeps for a loopback connection. */
const LARGE_BODY_BYTES = 12_000_000;
/** Less than that. */
const KERNEL_BODY_BYTES = 400_000;
const CLOSE_TIMEOUT_MILLIS = 3000;
const MAX_UNCROWDED = 5;
const POLL_MILLIS = 10;

const get = (path: string, more = '') => `GET ${path} HTTP/1.1\r\nHost: h\r\n${more}\r\n`;

async function waitFor(isFulfilled: () => boolean): Promise<void> {
	for (let i = 0; i < 300 && !isFulfilled(); i++) {
		// eslint-disable-next-line no-await-in-loop -- Polls sequentially.
		await wait(POLL_MILLIS);
	}
}

/** Starts a server that answers with what `createBody` resolves to; `seen` lists the paths in the order in which they ran. */
async function startServer(t: TestContext, createBody: (path: string) => string | Uint8Array | Promise<string | Uint8Array>) {
	const seen: string[] = [];
	const ends: ExchangeEnd[] = [];
	const server = createServer({noDelay: true});
	const connections = manageConnections(server, {clock: systemClock, closeTimeoutMillis: CLOSE_TIMEOUT_MILLIS, maxUncrowded: MAX_UNCROWDED});
	server.on('request', (req, res) => {
		req.resume();
		const exchange = connections.add(req, res, end => {
			ends.push(end);
		});
		void exchange.waitForTurn().then(async isNext => {
			if (isNext) {
				seen.push(req.url ?? '');
				const body = await createBody(req.url ?? '');
				if (exchange.isLast()) {
					res.shouldKeepAlive = false;
				}

				res.end(body);
			}
		});
	});
	const listening = await listenOn(server, '127.0.0.1:0');
	assert.ok(listening.ok);
	t.after(() => {
		server.close();
		connections.closeAll();
	});

	/** Opens a connection; `received` collects what arrives once it is read. */
	function connect(isPaused = false): Readonly<{socket: Socket; read: () => string; hasEnded: () => boolean}> {
		const received: Uint8Array[] = [];
		let hasEnded = false;
		const socket = createConnection(listening.ok ? listening.value : 0, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.on('end', () => {
			hasEnded = true;
		});
		socket.on('data', (bytes: Uint8Array) => {
			received.push(bytes);
		});
		if (isPaused) {
			socket.pause();
		}

		t.after(() => {
			socket.destroy();
		});
		return {socket, read: () => Buffer.concat(received).toString('latin1'), hasEnded: () => hasEnded};
	}

	return {
		server, connections, seen, ends, connect,
	};
}

const countAnswers = (text: string) => text.split('HTTP/1.1 200').length - 1;

void test('a request that follows another one on its connection does not run beside it', async t => {
	let running = 0;
	const {seen, connect} = await startServer(t, async path => {
		running++;
		assert.equal(running, 1);
		await wait(30);
		running--;
		return path;
	});
	const {socket, read} = connect();
	socket.write(get('/1') + get('/2') + get('/3'));
	await waitFor(() => read().includes('/3'));
	assert.deepEqual(seen, ['/1', '/2', '/3']);
	assert.equal(countAnswers(read()), 3);
});

for (const [name, first] of [['says that it closes the connection', get('/1', 'Connection: close\r\n')], ['is refused by the server', 'GET /1 HTTP/1.1\r\n\r\n']] as const) {
	void test(`a request behind one that ${name} is not run, and not counted as open`, async t => {
		const {connections, seen, connect} = await startServer(t, async path => wait(60, path));
		const {socket, hasEnded} = connect();
		socket.write(first);
		await wait(20);
		socket.write(get('/2'));
		await waitFor(hasEnded);
		assert.ok(!seen.includes('/2'));
		assert.equal(connections.countOpenExchanges(), 0);
	});
}

void test('a request that has arrived before the answer to the former one is answered although connections are to be closed', async t => {
	const {connections, connect} = await startServer(t, async path => wait(60, path));
	const {socket, read, hasEnded} = connect();
	socket.write(get('/1'));
	await wait(20);
	connections.disableKeepAlive();
	socket.write(get('/2'));
	await waitFor(hasEnded);
	assert.equal(countAnswers(read()), 2);
	assert.equal(read().split('Connection: close').length - 1, 1, 'only the last answer closes the connection');
	assert.equal(connections.countOpenExchanges(), 0);
});

for (const isClosing of [true, false]) {
	void test(`an answer that has been ended, but not sent, is not cut off when the server stops listening (${isClosing ? 'closing' : 'kept'} connection)`, async t => {
		const {server, connections, ends, connect} = await startServer(t, () => Buffer.alloc(LARGE_BODY_BYTES));
		const {socket, read} = connect(true);
		if (isClosing) {
			connections.disableKeepAlive();
		}

		socket.write(get('/1'));
		await wait(100);
		server.close();
		assert.equal(connections.countOpenExchanges(), 1);
		await wait(50);
		socket.resume();
		await waitFor(() => ends.length > 0 && read().length > LARGE_BODY_BYTES);
		assert.ok(read().length > LARGE_BODY_BYTES);
		assert.deepEqual(ends, ['sent']);
	});
}

// The kernel answers bytes that nobody reads with a reset, and drops what it still holds for the peer.
void test('bytes that arrive after the last answer do not cost its end', async t => {
	const {connections, connect} = await startServer(t, () => Buffer.alloc(KERNEL_BODY_BYTES));
	connections.disableKeepAlive();
	const {socket, read, hasEnded} = connect(true);
	socket.write(get('/1'));
	await waitFor(() => connections.countClosing() === 1);
	socket.write(get('/2').repeat(10));
	await wait(50);
	socket.resume();
	await waitFor(hasEnded);
	assert.ok(read().length > KERNEL_BODY_BYTES);
});

void test('a request that crosses the close of a kept connection does not cost the end of the answer before it', async t => {
	const {server, connections, seen, connect} = await startServer(t, () => Buffer.alloc(KERNEL_BODY_BYTES));
	const {socket, read, hasEnded} = connect(true);
	socket.write(get('/1'));
	await waitFor(() => seen.length === 1 && connections.countOpenExchanges() === 0);
	server.close();
	await wait(20);
	socket.write(get('/2'));
	await wait(20);
	socket.resume();
	await waitFor(hasEnded);
	assert.ok(read().length > KERNEL_BODY_BYTES);
	assert.deepEqual(seen, ['/1']);
});

void test('connections that their peers do not close do not use up those of others', async t => {
	const {connections, seen, connect} = await startServer(t, path => path);
	connections.disableKeepAlive();
	for (let i = 0; i < MAX_UNCROWDED * 3; i++) {
		const {socket} = connect(true);
		socket.write(get(`/${i}`));
		// eslint-disable-next-line no-await-in-loop -- One connection after the other.
		await waitFor(() => seen.length === i + 1 && connections.countOpenExchanges() === 0);
	}

	await waitFor(() => connections.countClosing() <= MAX_UNCROWDED);
	assert.equal(connections.countClosing(), MAX_UNCROWDED);
});

void test('a request whose head began to arrive during the answer before it is answered after the end of listening', async t => {
	const {server, connect} = await startServer(t, async path => wait(60, path));
	const {socket, read} = connect();
	socket.write(get('/1'));
	await wait(20);
	socket.write(get('/2').slice(0, 20));
	await waitFor(() => countAnswers(read()) === 1);
	server.close();
	socket.write(get('/2').slice(20));
	await waitFor(() => countAnswers(read()) === 2);
	assert.equal(countAnswers(read()), 2);
});

void test('requests that wait on one connection are bounded, and those that are taken are answered', async t => {
	const {connections, seen, connect} = await startServer(t, async path => wait(1, path));
	const {socket, read, hasEnded} = connect();
	socket.write(get('/x').repeat(20_000));
	await waitFor(() => connections.countOpenExchanges() > 0);
	assert.ok(connections.countOpenExchanges() <= 100, `${connections.countOpenExchanges()} are open`);
	await waitFor(hasEnded);
	assert.equal(countAnswers(read()), seen.length);
	assert.equal(read().split('Connection: close').length - 1, 1);
	assert.equal(connections.countOpenExchanges(), 0);
});

void test('a request whose body cannot be parsed is answered with 400', async t => {
	const {connect} = await startServer(t, path => path);
	const {socket, read, hasEnded} = connect();
	socket.write('POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nno size\r\n');
	await waitFor(hasEnded);
	assert.match(read(), /^HTTP\/1\.1 400 /v);
});

void test('bytes that are no request do not cost the answer to the request before them', async t => {
	const {seen, connections, connect} = await startServer(t, async path => wait(60, path));
	const {socket, read, hasEnded} = connect();
	socket.write(get('/1'));
	await wait(10);
	socket.write('\u0000 no request');
	await wait(10);
	socket.write('\r\n\r\nmore');
	await waitFor(hasEnded);
	assert.equal(countAnswers(read()), 1);
	assert.match(read(), /Connection: close/v);
	assert.match(read(), /\/1$/v);
	assert.deepEqual(seen, ['/1']);
	assert.equal(connections.countOpenExchanges(), 0);
});

void test('a request for a tunnel does not cost the answer to the request before it', async t => {
	const {seen, connect} = await startServer(t, async () => wait(60, Buffer.alloc(LARGE_BODY_BYTES)));
	const {socket, read, hasEnded} = connect();
	socket.write(get('/1'));
	await wait(10);
	socket.write('CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n');
	await waitFor(hasEnded);
	assert.ok(read().length > LARGE_BODY_BYTES);
	assert.deepEqual(seen, ['/1']);
});

void test('bytes that are no request are answered with 400 on a connection without one', async t => {
	const {connect} = await startServer(t, path => path);
	const {socket, read, hasEnded} = connect();
	socket.write('no request\r\n\r\n');
	await waitFor(hasEnded);
	assert.match(read(), /^HTTP\/1\.1 400 /v);
});

void test('a request whose head is being received when the server stops listening is still answered', async t => {
	const {server, connect} = await startServer(t, path => path);
	const {socket, read} = connect();
	const idle = connect();
	socket.write(get('/1').slice(0, 20));
	await wait(50);
	server.close();
	socket.write(get('/1').slice(20));
	await waitFor(() => read().length > 0);
	assert.equal(countAnswers(read()), 1);
	await waitFor(() => idle.socket.destroyed);
	assert.ok(idle.socket.destroyed, 'an idle connection is closed');
});

void test('a peer that leaves while its request runs disconnects the requests behind it, too', async t => {
	const {connections, seen, ends, connect} = await startServer(t, async path => wait(100, path));
	const {socket} = connect();
	socket.write(get('/1') + get('/2'));
	await wait(30);
	socket.destroy();
	await waitFor(() => ends.length === 2);
	assert.deepEqual(ends, ['closed', 'closed']);
	assert.deepEqual(seen, ['/1']);
	assert.equal(connections.countOpenExchanges(), 0);
});
