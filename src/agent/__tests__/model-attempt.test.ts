import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {encodeModelCall} from '../../answer/model-call.js';
import {decodeTokens} from '../../answer/payload-units.js';
import {fail} from '../../core/result.js';
import {startAgent} from '../start-agent.js';
import {createFakeContext, createSettings} from './fake-context.js';
import {
	createFakeModelEngine, endAt, piece, waitForAbort, type FakeModelEngine, type StreamScript,
} from './fake-model-engine.js';
import {createStart, openLinkProbe} from './link-probe.js';

const BODY = Buffer.from(encodeModelCall({prompt: 'summarise', maxTokens: 4}));

async function startEngineAgent(t: TestContext, engine: FakeModelEngine) {
	const {ctx} = createFakeContext('run-1');
	const settings = createSettings({service: 'model', backend: {kind: 'engine', url: 'http://127.0.0.1:1'}});
	const started = await startAgent(ctx, settings, {kind: 'engine', engine});
	assert.ok(started.ok);
	t.after(async () => ctx.lifeCycle.shutdown());
	const probe = openLinkProbe(started.value.linkAddress, ctx.linkAccess);
	t.after(probe.close);
	const start = (attemptId: string, changes = {}) => {
		probe.send(0, {
			$case: 'start', start: createStart(attemptId, {
				service: 'model', idempotent: true, body: BODY, ...changes,
			}),
		});
	};

	return {
		agent: started.value, ctx, probe, start,
	};
}

test('whole answer: a stream arrives in order with the count and digest of its own tokens', async t => {
	const engine = createFakeModelEngine(async function * () {
		yield piece(0, 'a', 'b');
		yield piece(2, 'c');
		yield endAt(3);
	});
	const {probe, start} = await startEngineAgent(t, engine);
	start('a1');
	assert.deepEqual(await probe.read('data', body => decodeTokens(body.data.payload)), ['a', 'b']);
	assert.equal(await probe.read('data', body => body.data.offset), 2);
	assert.equal(await probe.read('end', body => body.end.count), 3);
});

test('whole answer: a resumed stream starts at the requested offset', async t => {
	const engine = createFakeModelEngine(async function * (req) {
		yield piece(req.offset, 'd');
		yield endAt(req.offset + 1);
	});
	const {probe, start} = await startEngineAgent(t, engine);
	start('a1', {offset: 3});
	assert.equal(await probe.read('data', body => body.data.offset), 3);
	assert.equal(await probe.read('end', body => body.end.count), 1);
});

const brokenScripts: ReadonlyArray<Readonly<{fault: string; script: StreamScript}>> = [
	{
		fault: 'engine fails mid-stream', async * script() {
			yield piece(0, 'a');
			yield fail({tag: 'no_answer', detail: 'reset'});
		},
	},
	{
		fault: 'stream stops without an end', async * script() {
			yield piece(0, 'a');
		},
	},
	{
		fault: 'stream skips tokens', async * script() {
			yield piece(0, 'a');
			yield piece(2, 'c');
			yield endAt(3);
		},
	},
	{
		fault: 'end has a larger count than the tokens sent', async * script() {
			yield piece(0, 'a');
			yield endAt(2);
		},
	},
];

for (const {fault, script} of brokenScripts) {
	test(`whole answer: ${fault} gives a broken frame and no end frame`, async t => {
		const {probe, start} = await startEngineAgent(t, createFakeModelEngine(script));
		start('a1');
		assert.equal(await probe.read('broken', body => body.broken.reason), 'backend_server_failed');
	});
}

test('not run: an engine that is unreachable or refuses the stream gives a refusal', async t => {
	const errors = [fail({tag: 'not_sent', detail: 'refused'} as const), fail({tag: 'refused', reason: 'queue_full'} as const)];
	const engine = createFakeModelEngine(async function * () {
		yield errors.shift()!;
	});
	const {probe, start} = await startEngineAgent(t, engine);
	start('a1');
	assert.equal(await probe.read('refused', body => body.refused.reason), 'connection_refused');
	start('a2');
	assert.equal(await probe.read('refused', body => body.refused.reason), 'overload');
});

test('not run: an attempt whose deadline has passed on arrival does not start', async t => {
	const engine = createFakeModelEngine(async function * () {
		yield endAt(0);
	});
	const {probe, start} = await startEngineAgent(t, engine);
	start('a1', {remainingMillis: 0});
	assert.equal(await probe.read('refused', body => body.refused.reason), 'deadline');
	assert.equal(engine.requests.length, 0);
});

test('deadline: a stream that is still running at its deadline is cancelled and reported as broken', async t => {
	const engine = createFakeModelEngine(async function * (_req, signal) {
		yield piece(0, 'a');
		await waitForAbort(signal);
	});
	const {probe, start} = await startEngineAgent(t, engine);
	start('a1', {remainingMillis: 30});
	assert.equal(await probe.read('broken', body => body.broken.reason), 'deadline');
	assert.deepEqual(engine.cancelled, ['a1']);
});

test('link: when the link of an entry closes, its streams are cancelled at the engine', async t => {
	let stopped: () => void;
	const isStopped = new Promise<void>(resolve => {
		stopped = resolve;
	});
	const engine = createFakeModelEngine(async function * (_req, signal) {
		yield piece(0, 'a');
		await waitForAbort(signal);
		stopped();
	});
	const {agent, probe, start} = await startEngineAgent(t, engine);
	start('a1');
	await probe.take('data');
	probe.close();
	await isStopped;
	const report = await agent.drain();
	assert.equal(report.cutOff, 0);
	assert.deepEqual(engine.cancelled, ['a1']);
});

test('cancel: a stream that the entry no longer wants counts as a lost connection, not as a missed deadline', async t => {
	const engine = createFakeModelEngine(async function * (_req, signal) {
		yield piece(0, 'a');
		await waitForAbort(signal);
	});
	const {probe, start} = await startEngineAgent(t, engine);
	start('a1');
	await probe.take('data');
	probe.send(0, {$case: 'cancel', cancel: {attemptId: 'a1'}});
	assert.equal(await probe.read('broken', body => body.broken.reason), 'connection_lost');
	assert.deepEqual(engine.cancelled, ['a1']);
});

test('graceful shutdown: a stream in flight completes while its agent drains', async t => {
	let release: () => void;
	const isReleased = new Promise<void>(resolve => {
		release = resolve;
	});
	const engine = createFakeModelEngine(async function * () {
		yield piece(0, 'a');
		await isReleased;
		yield piece(1, 'b');
		yield endAt(2);
	});
	const {agent, probe, start} = await startEngineAgent(t, engine);
	start('a1');
	await probe.take('data');
	const drain = agent.drain();
	await probe.take('leaving');
	release!();
	assert.equal(await probe.read('end', body => body.end.count), 2);
	const report = await drain;
	assert.equal(report.cutOff, 0);
});

test('load: cache events reach the entry, and a gap in their sequence is reported', async t => {
	const engine = createFakeModelEngine(async function * () {
		yield endAt(0);
	}, [{sequence: 1, prefixDigest: 'p1', evicted: false}, {sequence: 3, prefixDigest: 'p3', evicted: true}]);
	const {probe} = await startEngineAgent(t, engine);
	const digests: string[] = [];
	let hasGap = false;
	while (digests.length < 2) {
		// eslint-disable-next-line no-await-in-loop
		const {heartbeat} = await probe.take('heartbeat');
		digests.push(...heartbeat.cacheEvents.map(event => event.prefixDigest));
		hasGap ||= heartbeat.cacheGap;
	}

	assert.deepEqual(digests, ['p1', 'p3']);
	assert.ok(hasGap);
});
