import {request, type Dispatcher} from 'undici';
import {createByteCollector} from '../core/byte-collector.js';
import type {LifeCycle} from '../core/life-cycle.js';
import {fail, succeed, type Result} from '../core/result.js';
import {createConnectionPool} from './connection-pool.js';
import {isTimeout, toHttpFailure, type HttpFailure} from './http-failure.js';
import {limitBody} from './limit-body.js';

/** A request to a server. */
export type HttpRequest = Readonly<{
	method: 'GET' | 'PUT' | 'POST';
	/** Path and query, with the leading slash. */
	path: string;
	headers?: Readonly<Record<string, string>>;
	body?: Uint8Array | string;
	/** Overrides the timeout of the client, in milliseconds. */
	timeoutMillis?: number;
	/** Cancels the exchange when it aborts. */
	signal?: AbortSignal;
	/** Whether a cancellation means that the connections may be dead, so that the next requests use new ones. */
	isCancelledAsDead?: boolean;
}>;

/** A complete reply. */
export type HttpReply = Readonly<{status: number; headers: ReplyHeaders; body: Uint8Array}>;

/** Header values by name in lower case; several values of a name form an array. */
export type ReplyHeaders = Readonly<Record<string, string | readonly string[] | undefined>>;

/** A reply whose body is still arriving. Reading the body rejects when the connection closes early or times out. */
export type HttpStream = Readonly<{status: number; body: AsyncIterable<Uint8Array>}>;

/** Client of one server. Never retries. */
export type HttpClient = {
	readonly exchange: (req: HttpRequest) => Promise<Result<HttpReply, HttpFailure>>;
	/** Fails when no data arrives within the timeout, or when `signal` aborts. */
	readonly openStream: (req: HttpRequest, signal: AbortSignal) => Promise<Result<HttpStream, HttpFailure>>;
};

/** Server address and timeouts of a client. */
export type HttpClientOptions = Readonly<{
	baseUrl: string;
	/** Limit for a whole exchange, or for the time between two chunks of a stream, in milliseconds. */
	timeoutMillis: number;
	lifeCycle: LifeCycle;
}>;

/** Largest reply that is read at once, in bytes; the largest that a server has reason to send is a stored object of 8 MB. */
const MAX_REPLY_BYTES = 16_777_216;

/** Reads a body to its end; rejects if it is larger than any reply. */
export async function readFully(body: AsyncIterable<Uint8Array>): Promise<Uint8Array> {
	const bytes = createByteCollector();
	for await (const chunk of limitBody(body, MAX_REPLY_BYTES)) {
		bytes.append(chunk);
	}

	return bytes.take();
}

/** Yields the chunks of a body; calls `onTimeout`, which replaces the connections, when the server stops sending before the end. */
async function * watchBody(body: AsyncIterable<Uint8Array>, onTimeout: () => void): AsyncGenerator<Uint8Array, void> {
	try {
		yield * body;
	} catch (error) {
		if (isTimeout(error)) {
			onTimeout();
		}

		throw error;
	}
}

/** Creates a client whose connections are closed at the end of the life cycle. */
export function createHttpClient({baseUrl, timeoutMillis, lifeCycle}: HttpClientOptions): HttpClient {
	const pool = createConnectionPool(baseUrl, timeoutMillis, lifeCycle);

	/** Sends a request once and reads its reply; after a timeout the next request uses a new connection. */
	async function send<T>(
		req: HttpRequest,
		signal: AbortSignal,
		read: (reply: Dispatcher.ResponseData, onTimeout: () => void) => Promise<T>,
	): Promise<Result<T, HttpFailure>> {
		const dispatcher = pool.current();
		const onTimeout = () => {
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
			return succeed(await read(reply, onTimeout));
		} catch (error) {
			if (isTimeout(error) || (req.isCancelledAsDead === true && req.signal?.aborted === true)) {
				onTimeout();
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
				async reply => ({status: reply.statusCode, headers: reply.headers, body: await readFully(reply.body)}),
			);
		},
		openStream: async (req, signal) => send(
			req,
			signal,
			async (reply, onTimeout) => ({status: reply.statusCode, body: watchBody(reply.body, onTimeout)}),
		),
	};
}
