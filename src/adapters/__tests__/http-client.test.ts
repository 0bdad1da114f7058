import assert from 'node:assert/strict';
import {once} from 'node:events';
import {createServer, type Server, type Socket} from 'node:net';
import {test, type TestContext} from 'node:test';
import {
	MIXED_TIMEOUT_MILLIS, PATIENT_TIMEOUT_MILLIS,
} from '../../../fakes/test-timeouts.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import {createHttpClient, type HttpClient} from '../http-client.js';

const STATUS_AND_CONTENT_TYPE = 'HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n';

/** How a server treats a connection after data has arrived on it. */
type Behaviour = (socket: Socket) => void;

async function listen(server: Server): Promise<string> {
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = server.address();
	assert.ok(address !== null && typeof address === 'object');
	return `http://127.0.0.1:${address.port}`;
}

async function startServer(ctx: TestContext, behave: Behaviour): Promise<Readonly<{url: string; requests: () => number}>> {
	let requests = 0;
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', () => {
			requests += 1;
			behave(socket);
		});
	});
	const url = await listen(server);
	ctx.after(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return {url, requests: () => requests};
}

function createClient(ctx: TestContext, baseUrl: string, timeoutMillis: number): HttpClient {
	const lifeCycle = createLifeCycle();
	ctx.after(async () => lifeCycle.shutdown());
	return createHttpClient({baseUrl, timeoutMillis, lifeCycle});
}

/** Sends `text`, then keeps the connection open or closes it. */
function sendAnd(then: 'wait' | 'close', text: string): Behaviour {
	return socket => {
		socket.write(text);
		if (then === 'close') {
			socket.end();
		}
	};
}

const HALF_BODY = `${STATUS_AND_CONTENT_TYPE}Content-Length: 10\r\n\r\nhalf`;
const HALF_CHUNKED_BODY = `${STATUS_AND_CONTENT_TYPE}Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n`;

const faults: ReadonlyArray<Readonly<{name: string; timeoutMillis: number; behave: Behaviour}>> = [
	{
		name: 'that closes at once', timeoutMillis: PATIENT_TIMEOUT_MILLIS,
		behave(socket) {
			socket.destroy();
		},
	},
	{
		name: 'that resets the connection', timeoutMillis: PATIENT_TIMEOUT_MILLIS,
		behave(socket) {
			socket.resetAndDestroy();
		},
	},
	{name: 'that never replies', timeoutMillis: MIXED_TIMEOUT_MILLIS, behave: sendAnd('wait', '')},
	{name: 'that sends half a body and closes', timeoutMillis: PATIENT_TIMEOUT_MILLIS, behave: sendAnd('close', HALF_BODY)},
	{name: 'that sends half a body and then nothing', timeoutMillis: MIXED_TIMEOUT_MILLIS, behave: sendAnd('wait', HALF_BODY)},
	{name: 'that truncates a chunked body', timeoutMillis: PATIENT_TIMEOUT_MILLIS, behave: sendAnd('close', HALF_CHUNKED_BODY)},
	{name: 'that does not speak HTTP', timeoutMillis: PATIENT_TIMEOUT_MILLIS, behave: sendAnd('close', 'hello\r\n\r\n')},
];
for (const {name, behave, timeoutMillis} of faults) {
	for (const method of ['GET', 'POST'] as const) {
		test(`http client: ${method} to a server ${name} fails with no_answer and is sent once`, async ctx => {
			const server = await startServer(ctx, behave);
			const reply = await createClient(ctx, server.url, timeoutMillis).exchange({method, path: '/'});
			assert.equal(reply.ok ? 'answered' : reply.error.tag, 'no_answer');
			assert.equal(server.requests(), 1);
		});
	}
}

test('http client: a refused connection is reported as not_sent', async ctx => {
	const server = createServer();
	const url = await listen(server);
	server.close();
	const reply = await createClient(ctx, url, PATIENT_TIMEOUT_MILLIS).exchange({method: 'POST', path: '/'});
	assert.equal(reply.ok ? 'answered' : reply.error.tag, 'not_sent');
});

test('http client: after a timeout the next exchange uses a new connection', async ctx => {
	const unresponsive = new Set<Socket>();
	const server = await startServer(ctx, socket => {
		if (unresponsive.size === 0) {
			unresponsive.add(socket);
		}

		if (!unresponsive.has(socket)) {
			socket.write(`${STATUS_AND_CONTENT_TYPE}Content-Length: 2\r\n\r\nok`);
		}
	});
	const client = createClient(ctx, server.url, MIXED_TIMEOUT_MILLIS);
	const first = await client.exchange({method: 'POST', path: '/'});
	const second = await client.exchange({method: 'POST', path: '/'});
	assert.deepEqual([first.ok, second.ok && second.value.status], [false, 200]);
});

test('http client: reading an aborted stream rejects', async ctx => {
	const server = await startServer(ctx, sendAnd('wait', HALF_CHUNKED_BODY));
	const controller = new AbortController();
	const stream = await createClient(ctx, server.url, PATIENT_TIMEOUT_MILLIS).openStream({method: 'GET', path: '/'}, controller.signal);
	assert.ok(stream.ok);
	await assert.rejects(async () => {
		for await (const chunk of stream.value.body) {
			assert.equal(chunk.byteLength, 4);
			controller.abort();
		}
	});
});

/** Writes the same bytes until the client closes the connection; returns how many it took. */
function writeWithoutEnd(head: string, chunk: string): Readonly<{behave: Behaviour; readBytes: () => number}> {
	let bytes = 0;
	function writeMore(socket: Socket): void {
		while (!socket.destroyed && socket.write(chunk)) {
			bytes += chunk.length;
		}
	}

	return {
		behave(socket) {
			socket.on('drain', () => {
				writeMore(socket);
			});
			socket.write(head);
			writeMore(socket);
		},
		readBytes: () => bytes,
	};
}

void test('a reply without end fails once it is larger than any reply, and its connection is closed', async ctx => {
	const endless = writeWithoutEnd(`${STATUS_AND_CONTENT_TYPE}\r\n`, 'x'.repeat(16_384));
	const {url} = await startServer(ctx, endless.behave);
	const reply = await createClient(ctx, url, PATIENT_TIMEOUT_MILLIS).exchange({method: 'GET', path: '/'});
	assert.ok(!reply.ok && reply.error.tag === 'no_answer');
	assert.ok(endless.readBytes() < 40_000_000, `${endless.readBytes()} bytes were taken`);
});
