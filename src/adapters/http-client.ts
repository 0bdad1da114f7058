import {request, type Dispatcher} from 'undici';
import type {LifeCycle} from '../core/life-cycle.js';
import {fail, succeed, type Result} from '../core/result.js';
import {createConnectionPool} from './connection-pool.js';
import {isTimeout, toHttpFailure, type HttpFailure} from './http-failure.js';

/** One exchange with a server. */
export type HttpRequest = Readonly<{
	method: 'GET' | 'PUT' | 'POST';
	/** Path and query, from the first slash on. */
	path: string;
	headers?: Readonly<Record<string, string>>;
	body?: Uint8Array | string;
	/** Replaces the timeout of the client, in milliseconds. */
	timeoutMillis?: number;
	/** Gives an exchange up when it aborts. */
	signal?: AbortSignal;
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

/** Passes a body on; a server that falls silent in the middle loses its connections. */
async function * watchBody(body: AsyncIterable<Uint8Array>, onSilence: () => void): AsyncGenerator<Uint8Array, void> {
	try {
		yield * body;
	} catch (error) {
		if (isTimeout(error)) {
			onSilence();
		}

		throw error;
	}
}

/** Creates a client whose connections end with the life cycle. */
export function createHttpClient({baseUrl, timeoutMillis, lifeCycle}: HttpClientOptions): HttpClient {
	const pool = createConnectionPool(baseUrl, timeoutMillis, lifeCycle);

	/** Sends a request once and reads its reply; after a timeout the next request takes a new connection. */
	async function send<T>(
		req: HttpRequest,
		signal: AbortSignal,
		read: (reply: Dispatcher.ResponseData, onSilence: () => void) => Promise<T>,
	): Promise<Result<T, HttpFailure>> {
		const dispatcher = pool.current();
		const onSilence = () => {
			pool.replace(dispatcher);
		};

		try {
			const reply = await request(baseUrl + req.path, {
				dispatcher,
				signal,
				method: req.method,
				headers: req.headers,
				body: req.body,
				headersTimeout: req.timeoutMillis,
				bodyTimeout: req.timeoutMillis,
			});
			return succeed(await read(reply, onSilence));
		} catch (error) {
			if (isTimeout(error)) {
				onSilence();
			}

			return fail(toHttpFailure(error));
		}
	}

	return {
		async exchange(req) {
			const timeout = AbortSignal.timeout(req.timeoutMillis ?? timeoutMillis);
			return send(
				req,
				req.signal ? AbortSignal.any([req.signal, timeout]) : timeout,
				async reply => ({status: reply.statusCode, body: await reply.body.bytes()}),
			);
		},
		openStream: async (req, signal) => send(
			req,
			signal,
			async (reply, onSilence) => ({status: reply.statusCode, body: watchBody(reply.body, onSilence)}),
		),
	};
}
