/** HTTP listener for callers: reads complete requests, passes them to a handler and writes the answers. */
import {createServer, type IncomingMessage, type ServerResponse} from 'node:http';
import {createByteCollector} from '../core/byte-collector.js';
import type {Clock} from '../core/clock.js';
import {describeError} from '../core/describe-error.js';
import type {EarlyListener} from '../core/early-listener.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import {listenOn} from '../core/listen-on.js';
import {fail, succeed, type Result} from '../core/result.js';
import {manageConnections, type HttpExchange} from '../http/http-connections.js';
import type {Log} from '../observability/log.js';
import type {CallCodec} from '../ports/call-codec.js';
import type {CallerLimits} from '../routing/routing-configuration.js';
import type {Call, CallReply} from './call.js';
import {createCallerReply, type CallerReply} from './caller-reply.js';
import {
	CLOSE_TIMEOUT_MILLIS, CONNECTION_CHECK_INTERVAL_MILLIS, KEEP_ALIVE_SLACK_MILLIS, MAX_CALLER_HEADER_BYTES, READER_CHECK_INTERVAL_MILLIS, UNCROWDED_SHARE,
} from './gateway-constants.js';
import type {GatewayMetrics} from './gateway-metrics.js';
import {createReplyBuffers} from './reply-buffers.js';

/** Listener for callers. */
export type CallerListener = Readonly<{
	port: number;
	/** Applies the limits of a new configuration; the idle timeout never gets shorter than the longest one so far. */
	setLimits: (limits: CallerLimits) => void;
	/** From now on closes each connection after the answer to the last request on it; new connections are still accepted. */
	disableKeepAlive: () => void;
	/** Stops accepting connections and closes the idle ones. */
	stopListening: () => void;
	/** Closes the idle connections. */
	closeIdleConnections: () => void;
	/** Number of calls whose answer has not been sent in full. */
	countOpenCalls: () => number;
	/** Number of connections on which a part of a call has been received. */
	countReceivingConnections: () => number;
	/** Number of connections whose last answer has been sent, and that wait for the caller to close them. */
	countClosingConnections: () => number;
	/** Closes all connections, including those with calls in flight. */
	closeAllConnections: () => void;
}>;

/** Dependencies of the listener; `serve` never rejects. */
export type CallerListenerDeps = Readonly<{
	/** `IP:port`. */
	address: string;
	/** Where it is bound already; optional. */
	earlyListener?: EarlyListener;
	maxConnections: number;
	/** Largest number of bytes that request bodies may occupy, and that answers may occupy, each in sum. */
	maxBufferedBytes: number;
	metrics: Pick<GatewayMetrics, 'abortedReaders' | 'bufferedBytes' | 'refusals' | 'undeliveredAnswers'>;
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

type BodyError = 'too_large' | 'memory' | 'caller_left';

/** Starts listening; the life cycle closes the listener and its remaining connections. */
export async function listenForCallers(deps: CallerListenerDeps): Promise<Result<CallerListener, ListenError>> {
	const {address, clock, log, lifeCycle, codec, maxBufferedBytes, metrics} = deps;
	let limits = DEFAULT_LIMITS;
	/** Whether the process has closed all connections, as it ends. */
	let hasClosedAll = false;
	let bufferedBytes = 0;
	const openReplies = new Set<CallReply>();
	const replyBuffers = createReplyBuffers({clock, maxBytes: maxBufferedBytes});

	async function readBody(req: IncomingMessage): Promise<Result<Uint8Array, BodyError>> {
		const body = createByteCollector();
		let size = 0;
		try {
			for await (const chunk of req as AsyncIterable<Uint8Array>) {
				size += chunk.length;
				bufferedBytes += chunk.length;
				body.append(chunk);
				if (size > limits.maxBodyBytes) {
					return fail('too_large');
				}

				if (bufferedBytes > maxBufferedBytes) {
					return fail('memory');
				}
			}
		} catch (error) {
			log.debug('request body not received', {detail: describeError(error)});
			return fail('caller_left');
		} finally {
			bufferedBytes -= size;
		}

		return succeed(body.take());
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

	/** Gives up slow callers and reports what is buffered until the process stops. */
	async function watchReaders(): Promise<void> {
		while (!lifeCycle.signal.aborted) {
			replyBuffers.check();
			metrics.bufferedBytes.set({part: 'answers'}, replyBuffers.readBufferedBytes());
			metrics.bufferedBytes.set({part: 'requests'}, bufferedBytes);
			// eslint-disable-next-line no-await-in-loop -- Checks are sequential.
			await clock.sleep(READER_CHECK_INTERVAL_MILLIS, lifeCycle.signal);
		}
	}

	/** Reports an answer that was handed over in full, but had not been sent in full when its connection was closed. */
	function noteUndelivered(request: string | undefined, {readWrittenBytes, readBufferedBytes}: CallerReply): void {
		const cause = hasClosedAll ? 'stopped' : 'connection_closed';
		metrics.undeliveredAnswers.inc({cause});
		log.info('answer not delivered', {
			request, cause, writtenBytes: readWrittenBytes(), unsentBytes: readBufferedBytes(),
		});
	}

	/** Creates the writer of the answer, whose buffer is bounded until the connection is closed or the answer has been read. */
	function createBoundedReply(res: ServerResponse, request: string | undefined, {isLast, disconnectSignal}: HttpExchange): CallerReply {
		const reply = createCallerReply(res, {isLast, onWritten: replyBuffers.noteWritten});
		if (!disconnectSignal.aborted) {
			res.once('close', replyBuffers.add({
				...reply,
				giveUp({cause, reader}) {
					metrics.abortedReaders.inc({reason: cause});
					metrics.refusals.inc({reason: 'slow_reader'});
					log.info('refused', {
						request, outcome: 'unknown', reason: 'slow_reader', cause, broken: true, heldBytes: reader.bufferedBytes, stalledMillis: Math.round(reader.stalledMillis),
					});
					reply.reset();
				},
			}));
		}

		return reply;
	}

	async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const arrivedAtMillis = clock.monotonicMillis();
		const answer: {request?: string | undefined; reply?: CallerReply} = {};
		const exchange = connections.add(req, res, end => {
			if (end === 'closed' && answer.reply?.isEnded()) {
				noteUndelivered(answer.request, answer.reply);
			}
		});
		const {disconnectSignal} = exchange;
		const body = await readBody(req);
		if (!body.ok) {
			answerUnreadRequest(res, body.error);
			return;
		}

		bufferedBytes += body.value.length;
		const head = codec.readCall(req.rawHeaders);
		if (await exchange.waitForTurn()) {
			const reply = createBoundedReply(res, head.attemptId, exchange);
			answer.request = head.attemptId;
			answer.reply = reply;
			if (!disconnectSignal.aborted) {
				openReplies.add(reply);
				res.once('close', () => {
					openReplies.delete(reply);
				});
			}

			await deps.serve({
				method: req.method ?? 'GET',
				path: req.url ?? '/',
				host: req.headers.host ?? '',
				headers: req.rawHeaders,
				head,
				body: body.value,
				arrivedAtMillis,
				reply,
				disconnectSignal,
			});
		} else {
			log.info('request not run', {request: head.attemptId, reason: 'connection_closed'});
		}

		bufferedBytes -= body.value.length;
	}

	const server = createServer({
		maxHeaderSize: MAX_CALLER_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLIS, noDelay: true,
	}, (req, res) => {
		void handle(req, res);
	});
	const connections = manageConnections(server, {
		clock,
		closeTimeoutMillis: CLOSE_TIMEOUT_MILLIS,
		maxUncrowded: deps.maxConnections * UNCROWDED_SHARE,
		onReset() {
			metrics.undeliveredAnswers.inc({cause: 'reset'});
		},
	});
	server.maxConnections = deps.maxConnections;
	const listening = await listenOn(server, address, deps.earlyListener);
	if (!listening.ok) {
		return listening;
	}

	function setLimits(next: CallerLimits): void {
		limits = next;
		server.headersTimeout = next.headerTimeoutMillis;
		server.keepAliveTimeout = Math.max(server.keepAliveTimeout, next.idleTimeoutMillis + KEEP_ALIVE_SLACK_MILLIS);
	}

	/** Closes all connections; answers in flight must not look complete. */
	function closeAllConnections(): void {
		hasClosedAll = true;
		for (const reply of openReplies) {
			reply.abort();
		}

		connections.closeAll();
	}

	setLimits(DEFAULT_LIMITS);
	void watchReaders();
	lifeCycle.own('caller listener', () => {
		server.close();
		closeAllConnections();
	});
	return succeed({
		port: listening.value,
		setLimits,
		disableKeepAlive: connections.disableKeepAlive,
		stopListening() {
			connections.disableKeepAlive();
			server.close();
		},
		closeIdleConnections: connections.closeIdle,
		countOpenCalls: connections.countOpenExchanges,
		countReceivingConnections: connections.countReceiving,
		countClosingConnections: connections.countClosing,
		closeAllConnections,
	});
}
