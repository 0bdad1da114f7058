import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {test} from 'node:test';
import {setTimeout as wait} from 'node:timers/promises';
import type {Clock} from '../../core/clock.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import {listenOn} from '../../core/listen-on.js';
import {systemClock} from '../../core/system-clock.js';
import {createBackendConnections, type Exchange, type ExchangeListener} from '../backend-connections.js';
import {MAX_PARSING_MILLIS, MAX_READ_BYTES} from '../gateway-constants.js';

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

/** A clock by which everything between two readings takes longer than an answer may be parsed without a break. */
function createSlowClock(): Clock {
	let elapsedMillis = 0;
	return {
		...systemClock,
		monotonicMillis() {
			elapsedMillis += MAX_PARSING_MILLIS + 1;
			return elapsedMillis;
		},
	};
}

/** A clock by which parsing takes no time. */
const stoppedClock: Clock = {...systemClock, monotonicMillis: () => 0};

/** Callbacks that replace those of a request, the reason of an abort right after it is sent, and its body. */
type ExchangeOptions = Partial<ExchangeListener> & Readonly<{abortReason?: string; body?: Uint8Array}>;

/** Starts a server that calls `respond` for each request, and connections to it. */
async function startBackend(respond: (socket: Socket) => void, clock: Clock = systemClock) {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			sockets.delete(socket);
		});
		socket.on('data', () => {
			respond(socket);
		});
	});
	const listening = await listenOn(server, '127.0.0.1:0');
	assert.ok(listening.ok);
	const lifeCycle = createLifeCycle();
	const connections = createBackendConnections({clock, lifeCycle});

	/** Sends a request and resolves once its exchange has ended; `more` replaces callbacks. */
	async function exchange(onData: (exchange: Exchange) => void = () => undefined, {abortReason, body = new Uint8Array(0), ...more}: ExchangeOptions = {}) {
		let bytes = 0;
		let status = 0;
		const error = await new Promise<string | undefined>(resolve => {
			const sent = connections.send(`127.0.0.1:${listening.ok ? listening.value : ''}`, {
				method: body.length > 0 ? 'POST' : 'GET', path: '/', headers: [], body, allowsLongIdleConnection: true, maxIdleConnections: 1,
			}, {
				onSent: () => undefined,
				onHead(head) {
					status = head.status;
					return true;
				},
				onData(data) {
					bytes += data.length;
					onData(sent);
				},
				onEnd: resolve,
				onLateHead: () => undefined,
				...more,
			});
			if (abortReason !== undefined) {
				sent.abort(abortReason);
			}
		});
		return {error, status, bytes};
	}

	return {
		exchange,
		async close() {
			await lifeCycle.shutdown();
			server.close();
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

type Framing = 'a length' | 'chunks' | 'no framing';

function formatAnswer(framing: Framing, bodyBytes: number): string {
	const body = 'x'.repeat(bodyBytes);
	switch (framing) {
		case 'a length': {
			return `HTTP/1.1 200 OK\r\nContent-Length: ${bodyBytes}\r\n\r\n${body}`;
		}

		case 'chunks': {
			const chunk = `2710\r\n${body.slice(0, 10_000)}\r\n`;
			return `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunk.repeat(bodyBytes / 10_000)}0\r\n\r\n`;
		}

		case 'no framing': {
			return `HTTP/1.1 200 OK\r\n\r\n${body}`;
		}
	}
}

for (const framing of ['a length', 'chunks', 'no framing'] as const) {
	for (const bodyBytes of [250_000, 1_000_000, 4_000_000]) {
		const respond = (socket: Socket) => {
			socket.write(formatAnswer(framing, bodyBytes));
			if (framing === 'no framing') {
				socket.end();
			}
		};

		void test(`an answer of ${bodyBytes} bytes with ${framing} is not given up because it is parsed slowly`, async () => {
			const backend = await startBackend(respond, createSlowClock());
			const ended = await backend.exchange();
			await backend.close();
			assert.deepEqual(ended, {error: undefined, status: 200, bytes: bodyBytes});
		});

		void test(`an answer of ${bodyBytes} bytes with ${framing} is not given up because it waits for its caller`, async () => {
			const backend = await startBackend(respond);
			let hasPaused = false;
			const ended = await backend.exchange(exchange => {
				if (!hasPaused) {
					hasPaused = true;
					exchange.pause();
					setTimeout(exchange.resume, 100);
				}
			});
			await backend.close();
			assert.deepEqual(ended, {error: undefined, status: 200, bytes: bodyBytes});
		});
	}
}

const endless: ReadonlyArray<Readonly<{name: string; begin: string; text: string}>> = [
	{name: 'headers', begin: 'HTTP/1.1 200 OK\r\n', text: 'X-More: y\r\n'},
	{name: 'informational answers', begin: '', text: 'HTTP/1.1 103 Early Hints\r\n\r\n'},
	{name: 'empty lines', begin: '', text: '\r\n'},
	{name: 'the size of a chunk', begin: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', text: '0'},
	{name: 'the extension of a chunk', begin: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;', text: 'x'},
	{name: 'trailers', begin: 'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n', text: 'X-More: y\r\n'},
];

for (const [clockName, clock] of [['at once', systemClock], ['slowly', createSlowClock()]] as const) {
	for (const {name, begin, text} of endless) {
		void test(`${name} without end, parsed ${clockName}, are given up`, async () => {
			const bytes = text.repeat(1000);
			const backend = await startBackend(socket => {
				const writeMore = () => {
					while (!socket.destroyed && socket.write(bytes)) {
						// The connection takes more.
					}
				};

				socket.on('drain', writeMore);
				socket.write(begin);
				writeMore();
			}, clock);
			const {error} = await backend.exchange();
			await backend.close();
			assert.match(error ?? '', /bytes besides|overflow/iv);
		});
	}
}

/** Time limit of a test whose exchange might not end, in milliseconds. */
const TEST_TIMEOUT_MILLIS = 3000;
/** More than is parsed at once. */
const REST = 'x'.repeat(3 * MAX_READ_BYTES);
const pieces = '1\r\nx\r\n'.repeat(2 * MAX_READ_BYTES);

// The parser must not be entered again from one of its callbacks, whether it parses for the same connection or for another one.
void test('a paused exchange ends when its answer does, although more bytes follow', {timeout: TEST_TIMEOUT_MILLIS}, async () => {
	const backend = await startBackend(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc${REST}`);
	}, stoppedClock);
	const ended = await backend.exchange(exchange => {
		exchange.pause();
	});
	await backend.close();
	assert.deepEqual(ended, {error: undefined, status: 200, bytes: 3});
});

void test('a paused exchange that is aborted for what follows in the same read ends', {timeout: TEST_TIMEOUT_MILLIS}, async () => {
	const backend = await startBackend(socket => {
		socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${pieces}`);
	}, stoppedClock);
	let count = 0;
	const {error} = await backend.exchange(exchange => {
		count++;
		if (count === 1) {
			exchange.pause();
		} else if (count === 2) {
			exchange.abort('a fault');
		}
	});
	await backend.close();
	assert.equal(error, 'a fault');
});

for (const action of ['abort', 'resume'] as const) {
	void test(`a paused exchange ends after its ${action} while another answer is parsed`, {timeout: TEST_TIMEOUT_MILLIS}, async () => {
		const backend = await startBackend(socket => {
			socket.write(formatAnswer('a length', 10 * MAX_READ_BYTES));
		}, stoppedClock);
		let paused: Exchange | undefined;
		const first = backend.exchange(exchange => {
			if (!paused) {
				paused = exchange;
				exchange.pause();
			}
		});
		await wait(50);
		const second = await backend.exchange(() => {
			paused?.[action]('given up');
		});
		const {error} = await first;
		await backend.close();
		assert.equal(second.error, undefined);
		assert.equal(error, action === 'abort' ? 'given up' : undefined);
	});
}

const RESET_MILLIS = 50;

for (const framing of ['a length', 'chunks'] as const) {
	for (const bodyBytes of [10_000, 60_000]) {
		for (const isPaused of [false, true]) {
			const state = isPaused ? 'held back for its caller' : 'parsed slowly';
			void test(`${bodyBytes} bytes with ${framing} are a whole answer despite a later reset, ${state}`, {timeout: TEST_TIMEOUT_MILLIS}, async () => {
				const backend = await startBackend(socket => {
					socket.write(formatAnswer(framing, bodyBytes), () => {
						setTimeout(() => {
							socket.resetAndDestroy();
						}, isPaused ? RESET_MILLIS : 0);
					});
				}, isPaused ? systemClock : createSlowClock());
				let hasPaused = !isPaused;
				const ended = await backend.exchange(exchange => {
					if (!hasPaused) {
						hasPaused = true;
						exchange.pause();
						setTimeout(exchange.resume, 2 * RESET_MILLIS);
					}
				});
				await backend.close();
				assert.deepEqual(ended, {error: undefined, status: 200, bytes: bodyBytes});
			});
		}
	}
}

for (const isPaused of [false, true]) {
	void test(`a reset does not look like the end of an answer without framing, ${isPaused ? 'held back for its caller' : 'parsed slowly'}`, {timeout: TEST_TIMEOUT_MILLIS}, async () => {
		const backend = await startBackend(socket => {
			socket.write(formatAnswer('no framing', 10_000), () => {
				setTimeout(() => {
					socket.resetAndDestroy();
				}, isPaused ? RESET_MILLIS : 0);
			});
		}, isPaused ? systemClock : createSlowClock());
		let hasPaused = !isPaused;
		const {error} = await backend.exchange(exchange => {
			if (!hasPaused) {
				hasPaused = true;
				exchange.pause();
				setTimeout(exchange.resume, 2 * RESET_MILLIS);
			}
		});
		await backend.close();
		assert.notEqual(error, undefined);
	});
}

void test('an answer without framing that has ended is whole despite a reset while it is held back for its caller', {timeout: TEST_TIMEOUT_MILLIS}, async () => {
	const backend = await startBackend(socket => {
		socket.end(formatAnswer('no framing', 10_000));
		setTimeout(() => {
			socket.resetAndDestroy();
		}, RESET_MILLIS);
	});
	let hasPaused = false;
	const ended = await backend.exchange(exchange => {
		if (!hasPaused) {
			hasPaused = true;
			exchange.pause();
			setTimeout(exchange.resume, 2 * RESET_MILLIS);
		}
	});
	await backend.close();
	assert.deepEqual(ended, {error: undefined, status: 200, bytes: 10_000});
});

const ANSWER = formatAnswer('a length', 3);

/** What a backend server sends on a kept connection besides its answer. */
const extras: ReadonlyArray<Readonly<{name: string; send: (socket: Socket) => void; delayMillis: number}>> = [
	...[0, 20].flatMap(delayMillis => [
		{
			name: 'a second answer', send(socket: Socket) {
				socket.write(ANSWER.replace('200', '201'));
			}, delayMillis,
		},
		{
			name: 'a second answer behind empty lines', send(socket: Socket) {
				socket.write('\r\n'.repeat(3 * MAX_READ_BYTES) + ANSWER.replace('200', '201'));
			}, delayMillis,
		},
		{
			name: 'part of an answer', send(socket: Socket) {
				socket.write('HTTP/1.1 201 Cre');
			}, delayMillis,
		},
		{
			name: 'bytes that are no answer', send(socket: Socket) {
				socket.write(REST);
			}, delayMillis,
		},
		{
			name: 'its end', send(socket: Socket) {
				socket.end();
			}, delayMillis,
		},
		{
			name: 'empty lines and its end', send(socket: Socket) {
				socket.end('\r\n'.repeat(3 * MAX_READ_BYTES));
			}, delayMillis,
		},
	]),
	{
		name: 'a reset', send(socket: Socket) {
			socket.resetAndDestroy();
		}, delayMillis: 20,
	},
];

for (const [clockName, createClock] of [['at once', () => stoppedClock], ['slowly', createSlowClock]] as const) {
	for (const {name, send, delayMillis} of extras) {
		for (const pauseMillis of delayMillis === 0 ? [0, 40] : [40]) {
			const state = `${delayMillis} ms later, request after ${pauseMillis} ms, parsed ${clockName}`;
			void test(`the next request gets its own answer after ${name} behind the former one (${state})`, {timeout: TEST_TIMEOUT_MILLIS}, async () => {
				let count = 0;
				const backend = await startBackend(socket => {
					count++;
					if (count > 1) {
						socket.write(ANSWER);
					} else if (delayMillis === 0) {
						socket.cork();
						socket.write(ANSWER);
						send(socket);
						socket.uncork();
					} else {
						socket.write(ANSWER);
						setTimeout(send, delayMillis, socket);
					}
				}, createClock());
				const first = await backend.exchange();
				if (pauseMillis > 0) {
					await wait(pauseMillis);
				}

				const second = await backend.exchange();
				await backend.close();
				assert.deepEqual(first, {error: undefined, status: 200, bytes: 3});
				assert.deepEqual(second, {error: undefined, status: 200, bytes: 3});
			});
		}
	}
}

void test('a request that is aborted before it is written on a kept connection is not sent', {timeout: TEST_TIMEOUT_MILLIS}, async () => {
	let count = 0;
	const backend = await startBackend(socket => {
		count++;
		socket.write(ANSWER);
	});
	await backend.exchange();
	let wasSent = false;
	const {error} = await backend.exchange(undefined, {
		abortReason: 'left',
		onSent() {
			wasSent = true;
		},
	});
	await wait(20);
	await backend.close();
	assert.equal(error, 'left');
	assert.equal(wasSent, false);
	assert.equal(count, 1);
});

void test('an idle connection on which empty lines arrive without end is closed', {timeout: TEST_TIMEOUT_MILLIS}, async () => {
	let closedAtMillis: number | undefined;
	const backend = await startBackend(socket => {
		socket.write(ANSWER);
		const timer = setInterval(() => {
			socket.write('\r\n');
		}, 10);
		socket.on('close', () => {
			clearInterval(timer);
			closedAtMillis ??= performance.now();
		});
	});
	await backend.exchange();
	const idleSinceMillis = performance.now();
	await wait(500);
	await backend.close();
	assert.ok(closedAtMillis !== undefined && closedAtMillis - idleSinceMillis < 250);
});

for (const isPaused of [false, true]) {
	const state = isPaused ? 'held back for its caller' : 'parsed slowly';
	void test(`an answer that has arrived is whole although the rest of its request can't be written (${state})`, {timeout: TEST_TIMEOUT_MILLIS}, async () => {
		const backend = await startBackend(socket => {
			socket.pause();
			socket.write(formatAnswer('a length', 10_000), () => {
				setTimeout(() => {
					socket.destroy();
				}, isPaused ? RESET_MILLIS : 0);
			});
		}, isPaused ? systemClock : createSlowClock());
		let hasPaused = !isPaused;
		const ended = await backend.exchange(exchange => {
			if (!hasPaused) {
				hasPaused = true;
				exchange.pause();
				setTimeout(exchange.resume, 2 * RESET_MILLIS);
			}
		}, {body: Buffer.alloc(8_000_000)});
		await backend.close();
		assert.deepEqual(ended, {error: undefined, status: 200, bytes: 10_000});
	});
}
