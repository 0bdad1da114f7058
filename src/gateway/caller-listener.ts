/** HTTP listener for callers: reads complete requests, passes them to a handler and writes the answers. */
import {Buffer} from 'node:buffer';
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import type {Clock} from '../core/clock.js';
import {describeError} from '../core/describe-error.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {listenOn} from '../core/listen-on.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {Log} from '../observability/log.js';
import type {CallCodec} from '../ports/call-codec.js';
import type {CallerLimits} from '../routing/routing-configuration.js';
import type {Call, CallReply} from './call.js';
import {
	CONNECTION_CHECK_INTERVAL_MILLIS, KEEP_ALIVE_SLACK_MILLIS, MAX_CALLER_HEADER_BYTES, MAX_BUFFERED_BYTES,
} from './gateway-constants.js';

/** Listener for callers. */
export type CallerListener = Readonly<{
	port: number;
	/** Applies the limits of a new configuration; the idle timeout never gets shorter than the longest one so far. */
	setLimits: (limits: CallerLimits) => void;
	/** From now on closes each connection after its answer; new connections are still accepted. */
	disableKeepAlive: () => void;
	/** Stops accepting connections and closes the idle ones. */
	stopListening: () => void;
	/** Number of calls whose answer is not complete yet. */
	countOpenCalls: () => number;
	/** Closes all connections, including those with calls in flight. */
	closeAllConnections: () => void;
}>;

/** Dependencies of the listener; `serve` never rejects. */
export type CallerListenerDeps = Readonly<{
	/** `IP:port`. */
	address: string;
	maxConnections: number;
	clock: Clock;
	log: Log;
	lifeCycle: LifeCycle;
	codec: CallCodec;
	serve: (call: Call) => Promise<void>;
}>;

/** Limits until a configuration is known. */
const DEFAULT_LIMITS: CallerLimits = {
	maxHeaderBytes: MAX_CALLER_HEADER_BYTES, maxBodyBytes: 4_194_304, headerTimeoutMillis: 5000, idleTimeoutMillis: 15_000,
};

function createReply(res: ServerResponse, isClosing: () => boolean): CallReply {
	let endsWithConnection = false;
	res.sendDate = false;
	return {
		writeHead(status, headers, isEndedByConnection = false) {
			if (isClosing() || isEndedByConnection) {
				res.shouldKeepAlive = false;
			}

			endsWithConnection = isEndedByConnection;
			res.useChunkedEncodingByDefault = !isEndedByConnection;

			res.writeHead(status, [...headers]);
		},
		write(bytes) {
			res.write(bytes);
		},
		needsDrain: () => res.writableNeedDrain,
		onDrain(resume) {
			res.once('drain', resume);
		},
		end() {
			res.end();
		},
		abort() {
			// An orderly close would look like the regular end of an unframed body. The reset discards what the caller has not read yet.
			if (endsWithConnection) {
				res.socket?.resetAndDestroy();
			}

			res.destroy();
		},
		areHeadersSent: () => res.headersSent,
	};
}

type BodyError = 'too_large' | 'memory' | 'caller_left';

/** Starts listening; the life cycle closes the listener and its remaining connections. */
export async function listenForCallers(deps: CallerListenerDeps): Promise<Result<CallerListener, ListenError>> {
	const {address, clock, log, lifeCycle, codec} = deps;
	let limits = DEFAULT_LIMITS;
	let isClosing = false;
	let openCalls = 0;
	let bufferedBytes = 0;

	async function readBody(req: IncomingMessage): Promise<Result<Uint8Array, BodyError>> {
		const chunks: Uint8Array[] = [];
		let size = 0;
		try {
			for await (const chunk of req as AsyncIterable<Uint8Array>) {
				size += chunk.length;
				bufferedBytes += chunk.length;
				chunks.push(chunk);
				if (size > limits.maxBodyBytes) {
					return fail('too_large');
				}

				if (bufferedBytes > MAX_BUFFERED_BYTES) {
					return fail('memory');
				}
			}
		} catch (error) {
			log.debug('request body not received', {detail: describeError(error)});
			return fail('caller_left');
		} finally {
			bufferedBytes -= size;
		}

		return succeed(chunks.length === 1 && chunks[0] ? chunks[0] : Buffer.concat(chunks));
	}

	function answerUnreadRequest(res: ServerResponse, error: BodyError): void {
		if (error === 'caller_left') {
			res.destroy();
			return;
		}

		log.info('refused', {outcome: error === 'memory' ? 'not_run' : 'bad_call', reason: error, heldBytes: bufferedBytes});
		res.shouldKeepAlive = false;
		res.writeHead(error === 'memory' ? 503 : 413);
		res.end();
	}

	async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const arrivedAtMillis = clock.monotonicMillis();
		const disconnection = new AbortController();
		res.on('close', () => {
			if (!res.writableFinished) {
				disconnection.abort();
			}
		});
		const body = await readBody(req);
		if (!body.ok) {
			answerUnreadRequest(res, body.error);
			return;
		}

		bufferedBytes += body.value.length;
		await deps.serve({
			method: req.method ?? 'GET',
			path: req.url ?? '/',
			host: req.headers.host ?? '',
			headers: req.rawHeaders,
			head: codec.readCall(req.rawHeaders),
			body: body.value,
			arrivedAtMillis,
			reply: createReply(res, () => isClosing),
			disconnectSignal: disconnection.signal,
		});
		bufferedBytes -= body.value.length;
	}

	const server = createServer({
		maxHeaderSize: MAX_CALLER_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLIS, noDelay: true,
	}, (req, res) => {
		openCalls++;
		res.once('close', () => {
			openCalls--;
		});
		void handle(req, res);
	});
	server.maxConnections = deps.maxConnections;
	const listening = await listenOn(server, address);
	if (!listening.ok) {
		return listening;
	}

	function setLimits(next: CallerLimits): void {
		limits = next;
		server.headersTimeout = next.headerTimeoutMillis;
		server.keepAliveTimeout = Math.max(server.keepAliveTimeout, next.idleTimeoutMillis + KEEP_ALIVE_SLACK_MILLIS);
	}

	setLimits(DEFAULT_LIMITS);
	lifeCycle.own('caller listener', () => {
		server.close();
		server.closeAllConnections();
	});
	return succeed({
		port: listening.value,
		setLimits,
		disableKeepAlive() {
			isClosing = true;
		},
		stopListening() {
			isClosing = true;
			server.close();
			server.closeIdleConnections();
		},
		countOpenCalls: () => openCalls,
		closeAllConnections() {
			server.closeAllConnections();
		},
	});
}
