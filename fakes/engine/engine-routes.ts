import type {Context} from 'hono';
import {z} from 'zod';
import type {StreamItem} from '../../src/ports/model-engine.js';
import {readJson} from '../http/read-json.js';
import type {StandInApp} from '../http/stand-in.js';
import type {StreamSink} from './batch.js';
import type {Engine} from './engine.js';

const CONFLICT_STATUS = 409;
const TOO_MANY_REQUESTS_STATUS = 429;

const epoch = z.number().int().nonnegative();
const fromStep = z.number().int().nonnegative();
const mapSchema = z.strictObject({
	layers: z.array(z.strictObject({
		slotsPerRank: z.number().int().positive(),
		slots: z.array(z.number().int().min(-1)),
	})),
});

const streamSchema = z.strictObject({
	attemptId: z.string().min(1),
	prompt: z.string(),
	maxTokens: z.number().int().positive(),
	priority: z.number().int(),
	offset: z.number().int().nonnegative(),
});

const modelFields = {name: z.string().min(1), version: z.string()};
const orderSchema = z.strictObject({
	fencingToken: z.number().int().nonnegative(),
	order: z.discriminatedUnion('tag', [
		z.strictObject({tag: z.literal('load_experts'), epoch, map: mapSchema}),
		z.strictObject({tag: z.literal('hold'), epoch, fromStep}),
		z.strictObject({tag: z.literal('forbid'), epoch}),
		z.strictObject({tag: z.literal('release'), epoch}),
		z.strictObject({
			tag: z.literal('take_map'), epoch, map: mapSchema, fromStep,
		}),
		z.strictObject({tag: z.literal('load_model'), ...modelFields}),
		z.strictObject({tag: z.literal('load_adapter'), ...modelFields}),
		z.strictObject({tag: z.literal('change_role'), role: z.string().min(1)}),
	]),
});

/** State of a running stream as an engine exports it. */
const streamStateSchema = z.strictObject({attemptId: z.string(), prompt: z.string(), nextOffset: z.number()});

function encodeLine(item: StreamItem): Uint8Array {
	const line = item.tag === 'piece' ? {tag: item.tag, ...item.piece} : {tag: item.tag, ...item.end};
	return new TextEncoder().encode(`${JSON.stringify(line)}\n`);
}

type ResponsePipe = Readonly<{sink: StreamSink; body: ReadableStream<Uint8Array>}>;

function createResponsePipe(onCancel: () => void): ResponsePipe {
	let push: (bytes: Uint8Array) => void = () => undefined;
	let close: () => void = () => undefined;
	let isClosed = false;
	const body = new ReadableStream<Uint8Array>({
		start(controller) {
			push = bytes => {
				controller.enqueue(bytes);
			};

			close = () => {
				controller.close();
			};
		},
		cancel() {
			isClosed = true;
			onCancel();
		},
	});

	return {
		body,
		sink: {
			push(item) {
				if (!isClosed) {
					push(encodeLine(item));
				}
			},
			close() {
				if (!isClosed) {
					isClosed = true;
					close();
				}
			},
		},
	};
}

async function startStream(ctx: Context, engine: Engine): Promise<Response> {
	const req = await readJson(ctx, streamSchema);
	if (!req.ok) {
		return ctx.json(req.error, 400);
	}

	const pipe = createResponsePipe(() => {
		engine.batch.cancel(req.value.attemptId);
	});
	const started = engine.startStream(req.value, pipe.sink);
	if (!started.ok) {
		return ctx.json(started.error, started.error.reason === 'queue_full' ? TOO_MANY_REQUESTS_STATUS : CONFLICT_STATUS);
	}

	return ctx.body(pipe.body, 200, {'content-type': 'application/x-ndjson'});
}

function addStreamRoutes(app: StandInApp, engine: Engine): void {
	app.post('/v1/streams', async ctx => startStream(ctx, engine));
	app.post('/v1/streams/:attemptId/cancel', ctx => {
		const result = engine.batch.cancel(ctx.req.param('attemptId'));
		return result.ok ? ctx.json({}) : ctx.json(result.error, CONFLICT_STATUS);
	});
	app.get('/v1/streams/:attemptId/state', ctx => {
		const attemptId = ctx.req.param('attemptId');
		const stream = engine.batch.findOpenStream(attemptId);
		return stream
			? ctx.json({attemptId, prompt: stream.req.prompt, nextOffset: stream.nextOffset})
			: ctx.json({tag: 'refused', reason: 'unknown_attempt'}, CONFLICT_STATUS);
	});
	app.put('/v1/streams/:attemptId/state', async ctx => {
		const state = await readJson(ctx, streamStateSchema);
		if (!state.ok) {
			return ctx.json(state.error, 400);
		}

		engine.importStream(ctx.req.param('attemptId'));
		return ctx.json({});
	});
}

/** Adds the routes of a model engine. */
export function addEngineRoutes(app: StandInApp, engine: Engine): void {
	addStreamRoutes(app, engine);
	app.get('/v1/state', ctx => ctx.json(engine.readState()));
	app.get('/v1/cache-events', ctx => {
		const after = Number(ctx.req.query('after') ?? '0');
		return ctx.json({events: engine.cache.readEvents(after)});
	});
	app.post('/v1/orders', async ctx => {
		const req = await readJson(ctx, orderSchema);
		if (!req.ok) {
			return ctx.json(req.error, 400);
		}

		const result = await engine.order(req.value.order, req.value.fencingToken);
		return result.ok ? ctx.json({}) : ctx.json(result.error, CONFLICT_STATUS);
	});
}
