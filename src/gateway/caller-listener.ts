/** Listens for callers: reads requests whole, hands them on, and writes answers back. */
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
	/** Takes the limits of a new configuration; idle connections are kept as long as the longest limit so far says. */
	setLimits: (limits: CallerLimits) => void;
	/** Closes each connection behind its answer from now on; new ones are still taken. */
	disableKeepAlive: () => void;
	/** Takes no connections any more and closes the idle ones. */
	stopListening: () => void;
	/** Calls that have no complete answer yet. */
	countOpenCalls: () => number;
	/** Breaks off all connections. */
	closeAllConnections: () => void;
}>;

/** What a listener needs; `serve` never rejects. */
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

/** Limits before a configuration is known. */
const FIRST_LIMITS: CallerLimits = {
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
			// A plain close would be the proper end of a body without framing; a reset loses what was not read yet.
			if (endsWithConnection) {
				res.socket?.resetAndDestroy();
			}

			res.destroy();
		},
		areHeadersSent: () => res.headersSent,
	};
}

type BodyError = 'too_large' | 'memory' | 'caller_left';

/** Starts to listen; the life cycle closes what is still open. */
export async function listenForCallers(deps: CallerListenerDeps): Promise<Result<CallerListener, ListenError>> {
	const {address, clock, log, lifeCycle, codec} = deps;
	let limits = FIRST_LIMITS;
	let isClosing = false;
	let open = 0;
	let heldBytes = 0;

	async function readBody(req: IncomingMessage): Promise<Result<Uint8Array, BodyError>> {
		const pieces: Uint8Array[] = [];
		let size = 0;
		try {
			for await (const piece of req as AsyncIterable<Uint8Array>) {
				size += piece.length;
				heldBytes += piece.length;
				pieces.push(piece);
				if (size > limits.maxBodyBytes) {
					return fail('too_large');
				}

				if (heldBytes > MAX_BUFFERED_BYTES) {
					return fail('memory');
				}
			}
		} catch (error) {
			log.debug('request broken off', {detail: describeError(error)});
			return fail('caller_left');
		} finally {
			heldBytes -= size;
		}

		return succeed(pieces.length === 1 && pieces[0] ? pieces[0] : Buffer.concat(pieces));
	}

	function answerUnread(res: ServerResponse, error: BodyError): void {
		if (error === 'caller_left') {
			res.destroy();
			return;
		}

		log.info('refused', {outcome: error === 'memory' ? 'not_run' : 'bad_call', reason: error, heldBytes});
		res.shouldKeepAlive = false;
		res.writeHead(error === 'memory' ? 503 : 413);
		res.end();
	}

	async function handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const arrivedAtMillis = clock.monotonicMillis();
		const gone = new AbortController();
		res.on('close', () => {
			if (!res.writableFinished) {
				gone.abort();
			}
		});
		const body = await readBody(req);
		if (!body.ok) {
			answerUnread(res, body.error);
			return;
		}

		heldBytes += body.value.length;
		await deps.serve({
			method: req.method ?? 'GET',
			path: req.url ?? '/',
			host: req.headers.host ?? '',
			headers: req.rawHeaders,
			head: codec.readCall(req.rawHeaders),
			body: body.value,
			arrivedAtMillis,
			reply: createReply(res, () => isClosing),
			disconnectSignal: gone.signal,
		});
		heldBytes -= body.value.length;
	}

	const server = createServer({
		maxHeaderSize: MAX_CALLER_HEADER_BYTES, connectionsCheckingInterval: CONNECTION_CHECK_INTERVAL_MILLIS, noDelay: true,
	}, (req, res) => {
		open++;
		res.once('close', () => {
			open--;
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

	setLimits(FIRST_LIMITS);
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
		countOpenCalls: () => open,
		closeAllConnections() {
			server.closeAllConnections();
		},
	});
}
