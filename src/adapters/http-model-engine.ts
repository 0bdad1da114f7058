import {match} from 'ts-pattern';
import type {z} from 'zod';
import {fail, succeed, type Result} from '../core/result.js';
import type {
	EngineError, EngineOrder, ModelEngine, StreamItem, StreamRequest,
} from '../ports/model-engine.js';
import {
	cacheEventsSchema, engineStateSchema, refusalSchema, streamItemSchema,
} from './engine-messages.js';
import {
	createHttpClient, readFully, type HttpClient, type HttpClientOptions, type HttpReply, type HttpRequest,
} from './http-client.js';
import {toHttpFailure} from './http-failure.js';
import {parseReply, isNoEffectStatus, isSuccessStatus} from './http-reply.js';
import {splitLines} from './split-lines.js';

/** Connection and timeouts of an engine client. */
export type HttpModelEngineOptions = HttpClientOptions & Readonly<{
	/** Timeout of an order that loads a model, an adapter or experts, in milliseconds. */
	loadTimeoutMillis: number;
}>;

const JSON_HEADERS = {'content-type': 'application/json'};

function noAnswer(detail: string): {readonly ok: false; readonly error: EngineError} {
	return fail({tag: 'no_answer', detail});
}

function checkStatus<T extends Pick<HttpReply, 'status' | 'body'>>(reply: T): Result<T, EngineError> {
	if (isSuccessStatus(reply.status)) {
		return succeed(reply);
	}

	if (!isNoEffectStatus(reply.status)) {
		return noAnswer(`status ${reply.status}`);
	}

	const refusal = parseReply(reply, refusalSchema);
	return fail({tag: 'refused', reason: refusal.ok ? refusal.value.reason : `status ${reply.status}`});
}

async function exchange(client: HttpClient, req: HttpRequest): Promise<Result<HttpReply, EngineError>> {
	const reply = await client.exchange(req);
	return reply.ok ? checkStatus(reply.value) : reply;
}

async function command(client: HttpClient, req: HttpRequest): Promise<Result<void, EngineError>> {
	const reply = await exchange(client, req);
	return reply.ok ? succeed(undefined) : reply;
}

async function query<T>(client: HttpClient, path: string, schema: z.ZodType<T>): Promise<Result<T, EngineError>> {
	const reply = await exchange(client, {method: 'GET', path});
	if (!reply.ok) {
		return reply;
	}

	const parsed = parseReply(reply.value, schema);
	return parsed.ok ? parsed : noAnswer(parsed.error.detail);
}

function parseItem(line: string): Result<StreamItem, EngineError> {
	const parsed = parseReply({body: new TextEncoder().encode(line)}, streamItemSchema);
	if (!parsed.ok) {
		return noAnswer(parsed.error.detail);
	}

	return succeed(match(parsed.value)
		.returnType<StreamItem>()
		.with({tag: 'piece'}, ({offset, tokens}) => ({tag: 'piece', piece: {offset, tokens}}))
		.with({tag: 'end'}, ({count}) => ({tag: 'end', end: {count}}))
		.exhaustive());
}

/** Yields the items up to the end item; yields `no_answer` last if the body has no end item. */
async function * readItems(body: AsyncIterable<Uint8Array>): AsyncGenerator<Result<StreamItem, EngineError>, void> {
	for await (const line of splitLines(body)) {
		const item = parseItem(line);
		yield item;
		if (!item.ok || item.value.tag === 'end') {
			return;
		}
	}

	yield noAnswer('stream ended without an end item');
}

async function * openItems(
	client: HttpClient,
	req: StreamRequest,
	signal: AbortSignal,
): AsyncGenerator<Result<StreamItem, EngineError>, void> {
	const stream = await client.openStream({
		method: 'POST', path: '/v1/streams', headers: JSON_HEADERS, body: JSON.stringify(req),
	}, signal);
	if (!stream.ok) {
		yield stream;
		return;
	}

	const {status, body} = stream.value;
	try {
		if (isSuccessStatus(status)) {
			yield * readItems(body);
			return;
		}

		const refused = checkStatus({status, body: await readFully(body)});
		yield refused.ok ? noAnswer(`status ${status}`) : refused;
	} catch (error) {
		yield noAnswer(toHttpFailure(error).detail);
	}
}

function isLoad(order: EngineOrder): boolean {
	return order.tag === 'load_experts' || order.tag === 'load_model' || order.tag === 'load_adapter';
}

/** Creates an HTTP client of a model engine; streams are lines of JSON. */
export function createHttpModelEngine(options: HttpModelEngineOptions): ModelEngine {
	const client = createHttpClient(options);
	const pathOf = (attemptId: string) => `/v1/streams/${encodeURIComponent(attemptId)}`;

	return {
		stream: (req, signal) => openItems(client, req, signal),
		cancel: async attemptId => command(client, {method: 'POST', path: `${pathOf(attemptId)}/cancel`}),
		readState: async () => query(client, '/v1/state', engineStateSchema),
		async readCacheEvents(afterSequence) {
			const reply = await query(client, `/v1/cache-events?after=${afterSequence}`, cacheEventsSchema);
			return reply.ok ? succeed(reply.value.events) : reply;
		},
		order: async (order, fencingToken) => command(client, {
			method: 'POST',
			path: '/v1/orders',
			headers: JSON_HEADERS,
			body: JSON.stringify({fencingToken, order}),
			timeoutMillis: isLoad(order) ? options.loadTimeoutMillis : undefined,
		}),
		async exportStream(attemptId) {
			const reply = await exchange(client, {method: 'GET', path: `${pathOf(attemptId)}/state`});
			return reply.ok ? succeed(reply.value.body) : reply;
		},
		importStream: async (attemptId, state) => command(client, {
			method: 'PUT', path: `${pathOf(attemptId)}/state`, headers: JSON_HEADERS, body: state,
		}),
	};
}
