/**
 * One gRPC stream from this entry to an agent.
 *
 * A link is handed out only after the agent's hello, so an attempt is written to a stream that is known to work.
 * Each link has a connection of its own: a replacement never shares the connection that went silent.
 */
import {Buffer} from 'node:buffer';
import {match} from 'ts-pattern';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {LinkAccess} from '../access/link-access.js';
import {configurationSchema} from '../configuration/configuration.js';
import type {ConfigurationHolder} from '../configuration/configuration-holder.js';
import type {Clock} from '../core/clock.js';
import type {
	AttemptId, ConfigVersion, Incarnation, InstanceId,
} from '../core/ids.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {Log} from '../observability/log.js';
import type {Metrics} from '../observability/metrics.js';
import {
	AgentLinkClient,
	type AgentFrame,
	type AgentHello,
	type AttemptQuery,
	type AttemptStatus,
	type Data,
	type End,
	type EntryFrame,
	type LoadReport,
	type StartAttempt,
	type TombstoneReply,
} from '../wire/generated/link.js';
import {
	HEARTBEAT_INTERVAL_MILLIS, HELLO_TIMEOUT_MILLIS, LINK_SILENCE_MILLIS, MAX_FRAME_BYTES,
} from './link-constants.js';

/** What comes back for an attempt. */
export type AttemptEvent
	= | Readonly<{tag: 'accepted'}>
		| Readonly<{tag: 'data'; data: Data}>
		| Readonly<{tag: 'end'; end: End}>
	/** The attempt was not started and never will be. */
		| Readonly<{tag: 'refused'; reason: string; retryAfterMillis: number}>
	/** The attempt was started; no whole answer will follow. */
		| Readonly<{tag: 'broken'; reason: string}>
	/** The link ended; what became of the attempt is not known. */
		| Readonly<{tag: 'link_lost'}>
	/** Nobody on this side wants the outcome any more. */
		| Readonly<{tag: 'abandoned'}>;

/** A report of the agent's load and the monotonic time it came, in milliseconds. */
export type ReceivedLoad = Readonly<{report: LoadReport; atMillis: number}>;

/** Why a link could not be opened. Nothing but the hello was sent. */
export type LinkError = Readonly<{tag: 'unreachable' | 'no_hello'; detail: string}>;

/** An open link to one agent. */
export type AgentLink = Readonly<{
	hello: AgentHello;
	address: string;
	isOpen: () => boolean;
	/** Resolves when the link has ended, for whatever reason. */
	closed: Promise<void>;
	/** Whether the agent said that it refuses new work. */
	isLeaving: () => boolean;
	/** Configuration version on the agent's last frame. */
	peerVersion: () => ConfigVersion;
	load: () => ReceivedLoad | undefined;
	/** Attempts on this link without an outcome. */
	inFlight: () => number;
	/** Writes the attempt; undefined when the link is closed, and then nothing was written. */
	start: (attempt: StartAttempt) => Mailbox<AttemptEvent> | undefined;
	/** Forgets an attempt; later frames of it are dropped and counted. */
	forget: (attemptId: AttemptId) => void;
	/** Asks the agent to stop an attempt whose answer nobody wants any more. */
	cancel: (attemptId: AttemptId) => void;
	/** Asks the agent never to start the attempt; undefined when no reply came in time. */
	tombstone: (attemptId: AttemptId, millis: number) => Promise<TombstoneReply | undefined>;
	/** Asks for the state of an attempt or a key; undefined when no reply came in time. */
	query: (query: AttemptQuery, millis: number) => Promise<AttemptStatus | undefined>;
	close: (cause: string) => void;
}>;

/** What a link needs of its process. */
export type LinkContext = Readonly<{
	instanceId: InstanceId;
	incarnation: Incarnation;
	failureDomain: string;
	clock: Clock;
	log: Log;
	metrics: Metrics;
	linkAccess: LinkAccess;
	configuration: ConfigurationHolder;
	observer: LinkObserver;
}>;

/** Is told what happens on the links. */
export type LinkObserver = Readonly<{
	onOpen: (hello: AgentHello) => void;
	onReport: (hello: AgentHello, report: LoadReport) => void;
	onClosed: (hello: AgentHello) => void;
}>;

type EntryBody = NonNullable<EntryFrame['body']>;
type AgentBody = NonNullable<AgentFrame['body']>;

const CLIENT_OPTIONS = {
	'grpc.enable_retries': 0,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.service_config_disable_resolution': 1,
	'grpc.max_receive_message_length': MAX_FRAME_BYTES,
	'grpc.max_send_message_length': MAX_FRAME_BYTES,
} as const;

/** Waiters for replies to one kind of question, by the id they ask about. */
type Waiters<T> = Map<string, Set<Mailbox<T>>>;

function settleWaiters<T>(waiters: Waiters<T>, id: string, reply: T): void {
	for (const waiter of waiters.get(id) ?? []) {
		waiter.push(reply);
	}
}

function queryId(query: Readonly<{attemptId: string; idempotencyKey: string}>): string {
	return `${query.attemptId} ${query.idempotencyKey}`;
}

/** Opens a link: dials, says hello, and waits for the agent's hello. */
export async function openAgentLink(ctx: LinkContext, address: string): Promise<Result<AgentLink, LinkError>> {
	const client = new AgentLinkClient(address, ctx.linkAccess.channel, CLIENT_OPTIONS);
	const call = client.connect(ctx.linkAccess.createMetadata());
	const greeting = createMailbox<Result<AgentHello, LinkError>>();
	const link = createLink(ctx, {
		address, call, greeting, closeClient() {
			client.close();
		},
	});

	const greeted = await greeting.take(ctx.clock, HELLO_TIMEOUT_MILLIS);
	if (!greeted) {
		link.close('no_hello');
		return fail({tag: 'no_hello', detail: `${address} sent no hello`});
	}

	return greeted.ok ? succeed({...link, hello: greeted.value}) : greeted;
}

type Connection = Readonly<{
	address: string;
	call: ClientDuplexStream<EntryFrame, AgentFrame>;
	greeting: Mailbox<Result<AgentHello, LinkError>>;
	closeClient: () => void;
}>;

function createLink(ctx: LinkContext, connection: Connection): Omit<AgentLink, 'hello'> {
	const {address, call, greeting, closeClient} = connection;
	const attempts = new Map<AttemptId, Mailbox<AttemptEvent>>();
	const tombstones: Waiters<TombstoneReply> = new Map();
	const queries: Waiters<AttemptStatus> = new Map();
	const ending = new AbortController();
	const closed = new Promise<void>(resolve => {
		ending.signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
	let hello: AgentHello | undefined;
	let isLeaving = false;
	let peerVersion = 0;
	let offeredVersion = 0;
	let requestedVersion = 0;
	let lastFrameMillis = ctx.clock.monotonicMillis();
	let load: ReceivedLoad | undefined;

	const isOpen = () => !ending.signal.aborted;

	function send(body: EntryBody): boolean {
		if (!isOpen()) {
			return false;
		}

		call.write({configVersion: ctx.configuration.version(), body});
		return true;
	}

	function sendConfiguration(): void {
		const cfg = ctx.configuration.read();
		if (cfg) {
			offeredVersion = cfg.version;
			send({$case: 'config', config: {version: cfg.version, json: Buffer.from(JSON.stringify(cfg))}});
		}
	}

	const stopListening = ctx.configuration.registerListener(sendConfiguration);

	function close(cause: string): void {
		if (!isOpen()) {
			return;
		}

		ending.abort();
		stopListening();
		call.cancel();
		closeClient();
		ctx.log.info('link closed', {peer: hello?.instanceId, address, cause});
		greeting.push(fail({tag: 'unreachable', detail: `${address}: ${cause}`}));
		for (const mailbox of attempts.values()) {
			mailbox.push({tag: 'link_lost'});
		}

		attempts.clear();
	}

	function takeConfiguration(json: Uint8Array): void {
		const parsed = configurationSchema.safeParse(parseJson(json));
		if (parsed.success) {
			ctx.configuration.offer(parsed.data);
			return;
		}

		ctx.metrics.droppedFrames.inc({reason: 'bad_configuration'});
	}

	function compareVersions(version: ConfigVersion): void {
		peerVersion = version;
		const own = ctx.configuration.version();
		if (version > own && version > requestedVersion) {
			requestedVersion = version;
			send({$case: 'configRequest', configRequest: {knownVersion: own}});
		}

		if (version < own && offeredVersion < own) {
			sendConfiguration();
		}
	}

	function deliver(attemptId: AttemptId, event: AttemptEvent): void {
		const mailbox = attempts.get(attemptId);
		if (mailbox) {
			mailbox.push(event);
			return;
		}

		ctx.metrics.droppedFrames.inc({reason: 'unknown_attempt'});
	}

	function receive(body: AgentBody): void {
		match(body)
			.with({$case: 'hello'}, frame => {
				hello = frame.hello;
				isLeaving = frame.hello.leaving;
				greeting.push(succeed(frame.hello));
			})
			.with({$case: 'heartbeat'}, frame => {
				load = {report: frame.heartbeat, atMillis: ctx.clock.monotonicMillis()};
				if (hello) {
					ctx.observer.onReport(hello, frame.heartbeat);
				}
			})
			.with({$case: 'leaving'}, frame => {
				isLeaving = frame.leaving.leaving;
			})
			.with({$case: 'accepted'}, frame => {
				deliver(frame.accepted.attemptId, {tag: 'accepted'});
			})
			.with({$case: 'data'}, frame => {
				deliver(frame.data.attemptId, {tag: 'data', data: frame.data});
			})
			.with({$case: 'end'}, frame => {
				deliver(frame.end.attemptId, {tag: 'end', end: frame.end});
			})
			.with({$case: 'refused'}, ({refused}) => {
				deliver(refused.attemptId, {tag: 'refused', reason: refused.reason, retryAfterMillis: refused.retryAfterMillis});
			})
			.with({$case: 'broken'}, frame => {
				deliver(frame.broken.attemptId, {tag: 'broken', reason: frame.broken.reason});
			})
			.with({$case: 'tombstoned'}, frame => {
				settleWaiters(tombstones, frame.tombstoned.attemptId, frame.tombstoned);
			})
			.with({$case: 'status'}, frame => {
				settleWaiters(queries, queryId(frame.status), frame.status);
			})
			.with({$case: 'config'}, frame => {
				takeConfiguration(frame.config.json);
			})
			.with({$case: 'configRequest'}, sendConfiguration)
			.exhaustive();
	}

	async function ask<T>(waiters: Waiters<T>, id: string, question: EntryBody, millis: number): Promise<T | undefined> {
		const mailbox = createMailbox<T>();
		const others = waiters.get(id) ?? new Set();
		waiters.set(id, others.add(mailbox));
		if (!send(question)) {
			return undefined;
		}

		const reply = await Promise.race([mailbox.take(ctx.clock, millis), closed.then(() => undefined)]);
		others.delete(mailbox);
		if (others.size === 0) {
			waiters.delete(id);
		}

		return reply;
	}

	async function keepAlive(): Promise<void> {
		for (let sequence = 1; isOpen(); sequence++) {
			send({$case: 'heartbeat', heartbeat: {sequence}});
			// The next heartbeat is due only after this wait.
			// eslint-disable-next-line no-await-in-loop
			await ctx.clock.sleep(HEARTBEAT_INTERVAL_MILLIS, ending.signal);
			if (ctx.clock.monotonicMillis() - lastFrameMillis > LINK_SILENCE_MILLIS) {
				close('silent');
			}
		}
	}

	call.on('data', (frame: AgentFrame) => {
		lastFrameMillis = ctx.clock.monotonicMillis();
		if (!isOpen()) {
			return;
		}

		compareVersions(frame.configVersion);
		if (frame.body) {
			receive(frame.body);
		}
	});
	call.on('error', (err: Error) => {
		close(err.message);
	});
	call.on('end', () => {
		close('ended by the agent');
	});
	send({
		$case: 'hello', hello: {
			instanceId: ctx.instanceId, incarnation: ctx.incarnation, failureDomain: ctx.failureDomain, token: '',
		},
	});
	void keepAlive();

	return {
		address,
		isOpen,
		closed,
		isLeaving: () => isLeaving,
		peerVersion: () => peerVersion,
		load: () => load,
		inFlight: () => attempts.size,
		start(attempt) {
			const mailbox = createMailbox<AttemptEvent>();
			if (!send({$case: 'start', start: attempt})) {
				return undefined;
			}

			attempts.set(attempt.attemptId, mailbox);
			return mailbox;
		},
		forget(attemptId) {
			attempts.delete(attemptId);
		},
		cancel(attemptId) {
			send({$case: 'cancel', cancel: {attemptId}});
		},
		tombstone: async (attemptId, millis) => ask(tombstones, attemptId, {$case: 'tombstone', tombstone: {attemptId}}, millis),
		query: async (query, millis) => ask(queries, queryId(query), {$case: 'query', query}, millis),
		close,
	};
}

function parseJson(json: Uint8Array): unknown {
	try {
		return JSON.parse(Buffer.from(json).toString('utf8'));
	} catch {
		return undefined;
	}
}
