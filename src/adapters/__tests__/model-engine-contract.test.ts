import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {DEFAULT_ENGINE_OPTIONS, type EngineOptions} from '../../../fakes/engine/engine-options.js';
import {expectedTokens} from '../../../fakes/engine/expected-tokens.js';
import {inTurn} from '../../../fakes/in-turn.js';
import {createModelEngine} from '../../../fakes/model-engine.js';
import {
	MIXED_TIMEOUT_MILLIS, PATIENT_TIMEOUT_MILLIS,
} from '../../../fakes/test-timeouts.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import type {Result} from '../../core/result.js';
import type {
	EngineError, ModelEngine, StreamItem, StreamRequest,
} from '../../ports/model-engine.js';
import {createHttpModelEngine} from '../http-model-engine.js';

/** More tokens or steps than any test can reach, so that the stream does not end by itself. */
const ENDLESS = 1_000_000;

async function start(ctx: TestContext, options: Partial<EngineOptions> = {}, timeoutMillis = PATIENT_TIMEOUT_MILLIS) {
	const lifeCycle = createLifeCycle();
	const standIn = await createModelEngine({
		...DEFAULT_ENGINE_OPTIONS, baseStepMillis: 1, loadLagMillis: 0, cacheLagMillis: 0, ...options,
	});
	lifeCycle.own('engine', standIn.close);
	ctx.after(async () => lifeCycle.shutdown());
	const engine = createHttpModelEngine({
		baseUrl: standIn.url, timeoutMillis, loadTimeoutMillis: timeoutMillis, lifeCycle,
	});
	return {standIn, engine};
}

function request(change: Partial<StreamRequest> = {}): StreamRequest {
	return {
		attemptId: 'attempt-1', prompt: 'clause 7', maxTokens: 5, priority: 1, offset: 0, ...change,
	};
}

type Read = Readonly<{tokens: readonly string[]; last: string}>;

/** Reads a stream to its end; `onPiece` runs after each piece. */
async function readStream(
	engine: ModelEngine,
	req: StreamRequest,
	onPiece: () => unknown = () => undefined,
	signal = new AbortController().signal,
): Promise<Read> {
	const tokens: string[] = [];
	let last = 'nothing';
	for await (const item of engine.stream(req, signal)) {
		last = describe(item);
		if (item.ok && item.value.tag === 'piece') {
			assert.equal(item.value.piece.offset, req.offset + tokens.length);
			tokens.push(...item.value.piece.tokens);
			await onPiece();
		}
	}

	return {tokens, last};
}

/** Reads a stream and returns a description of its last item. */
async function readLast(engine: ModelEngine, req: StreamRequest): Promise<string> {
	const {last} = await readStream(engine, req);
	return last;
}

function describe(item: Result<StreamItem, EngineError>): string {
	if (!item.ok) {
		return item.error.tag;
	}

	return item.value.tag === 'end' ? `end ${item.value.end.count}` : 'piece';
}

function describeOrder(result: Result<void, EngineError>): string {
	if (result.ok) {
		return 'done';
	}

	return result.error.tag === 'refused' ? result.error.reason : result.error.tag;
}

test('model engine: a complete stream ends with the token count of the answer', async ctx => {
	const {engine} = await start(ctx);
	assert.deepEqual(await readStream(engine, request()), {tokens: expectedTokens('clause 7', 5), last: 'end 5'});
});

test('model engine: another engine resumes at any offset with the same tokens', async ctx => {
	const {engine} = await start(ctx);
	const {tokens} = await readStream(engine, request({offset: 3}));
	assert.deepEqual(tokens, expectedTokens('clause 7', 5).slice(3));
});

const cuts: ReadonlyArray<Readonly<{name: string; last: string; cut: (run: Awaited<ReturnType<typeof start>>) => unknown}>> = [
	{name: 'the engine ends', last: 'no_answer', cut: async ({standIn}) => standIn.close()},
	{
		name: 'the connection becomes unresponsive',
		last: 'no_answer',
		cut({standIn}) {
			standIn.faults.set({silenceOpenConnections: true});
		},
	},
	{
		name: 'the engine freezes',
		last: 'no_answer',
		cut({standIn}) {
			standIn.faults.set({freeze: true});
		},
	},
	{name: 'the stream is cancelled', last: 'no_answer', cut: async ({engine}) => engine.cancel('attempt-1')},
];
for (const {name, last, cut} of cuts) {
	test(`model engine, ${name} in mid-stream: the received tokens are correct and the stream never looks complete`, async ctx => {
		const run = await start(ctx, {}, MIXED_TIMEOUT_MILLIS);
		const read = await readStream(run.engine, request({maxTokens: ENDLESS}), async () => cut(run));
		assert.equal(read.last, last);
		assert.deepEqual(read.tokens, expectedTokens('clause 7', read.tokens.length));
	});
}

test('model engine: an aborted stream ends and frees its slot', async ctx => {
	const {engine} = await start(ctx, {capacity: 1});
	const controller = new AbortController();
	const aborted = await readStream(engine, request({maxTokens: ENDLESS}), () => {
		controller.abort();
	}, controller.signal);
	assert.equal(aborted.last, 'no_answer');
	const next = await readStream(engine, request({attemptId: 'attempt-2'}));
	assert.equal(next.last, 'end 5');
});

test('model engine: an attempt id is accepted only once, and a full queue refuses', async ctx => {
	const {engine} = await start(ctx, {queueLimit: 0});
	assert.equal(await readLast(engine, request()), 'refused');
	const {engine: other} = await start(ctx);
	await readStream(other, request());
	assert.equal(await readLast(other, request()), 'refused');
});

test('model engine: a call to an engine that is not running is not_sent', async ctx => {
	const {standIn, engine} = await start(ctx);
	await standIn.close();
	const state = await engine.readState();
	assert.equal(state.ok ? 'ok' : state.error.tag, 'not_sent');
	assert.equal(await readLast(engine, request()), 'not_sent');
});

test('model engine: an order with a stale fencing token is refused by an engine that checks it and executed by one that does not', async ctx => {
	const orders = async (engine: ModelEngine) => [
		describeOrder(await engine.order({tag: 'change_role', role: 'decode'}, 7)),
		describeOrder(await engine.order({tag: 'change_role', role: 'prefill'}, 6)),
	];
	const checking = await start(ctx, {checksFencing: true});
	assert.deepEqual(await orders(checking.engine), ['done', 'old_fencing_token']);
	const ignoring = await start(ctx, {checksFencing: false});
	assert.deepEqual(await orders(ignoring.engine), ['done', 'done']);
});

test('model engine: an epoch can be forbidden unless it is held, and accepts no hold afterwards', async ctx => {
	const {engine} = await start(ctx);
	const fromStep = 1_000_000;
	const order = async (tag: 'hold' | 'forbid', epoch: number) => describeOrder(await engine.order(tag === 'hold' ? {tag, epoch, fromStep} : {tag, epoch}, 1));
	assert.equal(await order('forbid', 4), 'done');
	assert.equal(await order('hold', 4), 'released');
	assert.equal(await order('hold', 5), 'done');
	assert.equal(await order('forbid', 5), 'held');
	const state = await engine.readState();
	assert.deepEqual(state.ok && state.value.hold, {epoch: 5, fromStep});
});

test('model engine: a frozen engine does not answer an order and executes it after it resumes', async ctx => {
	const {standIn, engine} = await start(ctx, {}, MIXED_TIMEOUT_MILLIS);
	standIn.faults.set({freeze: true});
	assert.equal(describeOrder(await engine.order({tag: 'release', epoch: 4}, 1)), 'no_answer');
	standIn.faults.set({freeze: false});
	const state = await engine.readState();
	assert.deepEqual(state.ok && state.value.releasedEpochs, [4]);
});

test('model engine: cache events arrive in order, without those that were lost', async ctx => {
	const {engine} = await start(ctx, {cachePrefixes: 1, cacheGapShare: 0});
	await inTurn(['a', 'b'], async prompt => readStream(engine, request({attemptId: prompt, prompt, maxTokens: 1})));
	const events = await engine.readCacheEvents(1);
	assert.deepEqual(events.ok && events.value.map(event => [event.sequence, event.evicted]), [[2, false], [3, true]]);
	const lossy = await start(ctx, {cacheGapShare: 1});
	await readStream(lossy.engine, request());
	assert.deepEqual(await lossy.engine.readCacheEvents(0), {ok: true, value: []});
});

test('model engine: an imported stream starts without prefill on the engine that imported it', async ctx => {
	const {engine} = await start(ctx);
	const {engine: other} = await start(ctx, {prefillSteps: ENDLESS});
	let imported: Result<void, EngineError> | undefined;
	await readStream(engine, request({maxTokens: ENDLESS}), async () => {
		const state = await engine.exportStream('attempt-1');
		imported ??= state.ok ? await other.importStream('attempt-1', state.value) : state;
		await engine.cancel('attempt-1');
	});
	assert.deepEqual(imported?.ok, true);
	assert.equal(await readLast(other, request({offset: 2})), 'end 5');
});
