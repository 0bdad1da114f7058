import {Agent, request, type Dispatcher} from 'undici';
import type {LifeCycle} from '../core/life-cycle.js';
import {fail, succeed, type Result} from '../core/result.js';
import {toHttpFailure, type HttpFailure} from './http-failure.js';

/** Connections that one client opens at most. */
const MAX_CONNECTIONS = 128;

/** One exchange with a server. */
export type HttpRequest = Readonly<{
	method: 'GET' | 'PUT' | 'POST';
	/** Path and query, from the first slash on. */
	path: string;
	headers?: Readonly<Record<string, string>>;
	body?: Uint8Array | string;
	/** Replaces the timeout of the client, in milliseconds. */
	timeoutMillis?: number;
}>;

/** A whole reply. */
export type HttpReply = Readonly<{status: number; body: Uint8Array}>;

/** A reply whose body is still coming. Reading it rejects when the connection ends or goes silent. */
export type HttpStream = Readonly<{status: number; body: AsyncIterable<Uint8Array>}>;

/** Client of one server. Repeats nothing. */
export type HttpClient = {
	readonly exchange: (req: HttpRequest) => Promise<Result<HttpReply, HttpFailure>>;
	/** Ends with a failure when nothing comes for the timeout, or when `signal` aborts. */
	readonly openStream: (req: HttpRequest, signal: AbortSignal) => Promise<Result<HttpStream, HttpFailure>>;
};

/** Where a client connects, and how long it waits. */
export type HttpClientOptions = Readonly<{
	baseUrl: string;
	/** Time for a whole exchange; for a stream, between two pieces. In milliseconds. */
	timeoutMillis: number;
	lifeCycle: LifeCycle;
}>;

/** Creates a client whose connections end with the life cycle. */
export function createHttpClient({baseUrl, timeoutMillis, lifeCycle}: HttpClientOptions): HttpClient {
	const dispatcher = new Agent({
		connections: MAX_CONNECTIONS,
		pipelining: 1,
		connect: {timeout: timeoutMillis},
		headersTimeout: timeoutMillis,
		bodyTimeout: timeoutMillis,
	});
	lifeCycle.own(`connections to ${baseUrl}`, async () => dispatcher.destroy());

	async function send(req: HttpRequest, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
		return request(baseUrl + req.path, {
			dispatcher,
			signal,
			method: req.method,
			headers: req.headers,
			body: req.body,
			headersTimeout: req.timeoutMillis,
			bodyTimeout: req.timeoutMillis,
		});
	}

	return {
		async exchange(req) {
			try {
				const reply = await send(req, AbortSignal.timeout(req.timeoutMillis ?? timeoutMillis));
				return succeed({status: reply.statusCode, body: await reply.body.bytes()});
			} catch (error) {
				return fail(toHttpFailure(error));
			}
		},
		async openStream(req, signal) {
			try {
				const reply = await send(req, signal);
				return succeed({status: reply.statusCode, body: reply.body});
			} catch (error) {
				return fail(toHttpFailure(error));
			}
		},
	};
}
