import assert from 'node:assert/strict';
import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import {test} from 'node:test';
import {createLifeCycle} from '../../core/life-cycle.js';
import {listenOn} from '../../core/listen-on.js';
import {systemClock} from '../../core/system-clock.js';
import type {CallCodec} from '../../ports/call-codec.js';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {createBackendConnections} from '../backend-connections.js';
import type {Call, CallReply} from '../call.js';
import {runAttempt, type AttemptPlan} from '../run-attempt.js';

const LIMIT_MILLIS = 100;
const ANSWER = 'HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc';

const codec: CallCodec = {
	readCall: () => assert.fail('no call is read'),
	forwardHeaders: () => [],
	readAnswer: (status, headers) => ({
		status,
		attemptId: 'a',
		isNotRun: false,
		isSigned: true,
		isEncoded: false,
		isEventStream: false,
		contentLength: undefined,
		load: undefined,
		faultyServer: undefined,
		isLeaving: false,
		retryAfterMillis: undefined,
		requestsPerSecond: undefined,
		forwardedHeaders: headers,
	}),
};

const reply: CallReply = {
	writeHead: () => undefined,
	write: () => undefined,
	needsDrain: () => false,
	onDrain: () => undefined,
	end: () => undefined,
	abort: () => undefined,
	areHeadersSent: () => false,
};

const call: Call = {
	method: 'POST',
	path: '/',
	host: 'h.example',
	headers: [],
	head: {
		attemptId: 'a', credential: undefined, deadlineMillis: undefined, promptTokens: 0, maxOutputTokens: 0, promptParts: [], lastEventId: undefined,
	},
	body: Buffer.from('payload'),
	arrivedAtMillis: 0,
	reply,
	disconnectSignal: new AbortController().signal,
};

/** Runs an attempt at a server that calls `respond` for its request. */
async function attempt(respond: (socket: Socket) => void, limits: Pick<AttemptPlan, 'silenceLimit' | 'timeoutMillis'>): Promise<AttemptOutcome> {
	const server = createServer(socket => {
		socket.on('error', () => undefined);
		socket.once('data', () => {
			respond(socket);
		});
	});
	const listening = await listenOn(server, '127.0.0.1:0');
	assert.ok(listening.ok);
	const lifeCycle = createLifeCycle();
	const outcome = await runAttempt({connections: createBackendConnections({clock: systemClock, lifeCycle}), codec, clock: systemClock}, call, {
		address: `127.0.0.1:${listening.value}`,
		headers: [],
		allowsLongIdleConnection: true,
		maxIdleConnections: 1,
		sink: {
			reply,
			clock: systemClock,
			isStreaming: false,
			progress: {lastEventId: undefined, lastEventAtMillis: undefined, canContinue: true},
			onEvent: () => undefined,
		},
		moveSignal: new AbortController().signal,
		cutOffSignal: new AbortController().signal,
		onProgress: () => undefined,
		onHead: () => undefined,
		onAnyHead: () => undefined,
		...limits,
	});
	await lifeCycle.shutdown();
	server.close();
	return outcome;
}

function blockEventLoop(millis: number): void {
	const untilMillis = performance.now() + millis;
	while (performance.now() < untilMillis) {
		// Busy.
	}
}

const silenceLimit = {firstByteMillis: LIMIT_MILLIS, pauseMillis: LIMIT_MILLIS, isOtherAlive: () => true};

for (const {name, limits} of [
	{name: 'silent', limits: {timeoutMillis: 20 * LIMIT_MILLIS, silenceLimit}},
	{name: 'late', limits: {timeoutMillis: LIMIT_MILLIS, silenceLimit: undefined}},
]) {
	void test(`a backend server is not ${name} whose answer has arrived while the process was busy`, async () => {
		const outcome = await attempt(socket => {
			socket.write(ANSWER);
			blockEventLoop(2 * LIMIT_MILLIS);
		}, limits);
		assert.equal(outcome.tag, 'answered');
	});

	void test(`a backend server that sends nothing is ${name} at the limit`, async () => {
		const startedAtMillis = performance.now();
		const outcome = await attempt(() => undefined, limits);
		assert.equal(outcome.tag, name === 'silent' ? 'lost' : 'late');
		assert.ok(performance.now() - startedAtMillis < 4 * LIMIT_MILLIS);
	});
}
