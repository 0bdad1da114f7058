/**
 * One gRPC stream from this entry to an agent.
 *
 * A link is handed out only after the agent's hello, so an attempt is written to a stream that is known to work.
 * Each link has a connection of its own: a replacement never shares the connection that went silent.
 */
import {match} from 'ts-pattern';
import type {ClientDuplexStream} from '@grpc/grpc-js';
import type {AttemptId} from '../core/ids.js';
import {createMailbox, type Mailbox} from '../core/mailbox.js';
import {fail, succeed, type Result} from '../core/result.js';
import {
	AgentLinkClient,
	type AgentFrame,
	type AgentHello,
	type AttemptStatus,
	type EntryFrame,
	type EntryHello,
	type LoadReport,
	type StartAttempt,
	type TombstoneReply,
} from '../wire/generated/link.js';
import type {
	AgentLink, LinkContext, LinkError, ReceivedLoad,
} from '../ports/agent-link.js';
import type {AttemptEvent} from '../ports/attempt-event.js';
import {createAttemptMailboxes} from './attempt-mailboxes.js';
import {createPendingReplies} from './pending-replies.js';
import {startVersionExchange} from './version-exchange.js';
import {
	HEARTBEAT_INTERVAL_MILLIS, HELLO_TIMEOUT_MILLIS, LINK_IDLE_TIMEOUT_MILLIS, MAX_FRAME_BYTES,
} from './link-constants.js';

type EntryBody = NonNullable<EntryFrame['body']>;
type AgentBody = NonNullable<AgentFrame['body']>;

const CLIENT_OPTIONS = {
	'grpc.enable_retries': 0,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.service_config_disable_resolution': 1,
	'grpc.max_receive_message_length': MAX_FRAME_BYTES,
	'grpc.max_send_message_length': MAX_FRAME_BYTES,
} as const;

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

/** Reads the frames of a link and keeps what the agent said last. */
function createLink(ctx: LinkContext, connection: Connection): Omit<AgentLink, 'hello'> {
	const {address, call, greeting} = connection;
	const attempts = createAttemptMailboxes();
	const tombstones = createPendingReplies<TombstoneReply>(ctx.clock);
	const queries = createPendingReplies<AttemptStatus>(ctx.clock);
	const ending = new AbortController();
	const versions = startVersionExchange(ctx.configuration, body => {
		send(body);
	});
	let hello: AgentHello | undefined;
	let isLeaving = false;
	let load: ReceivedLoad | undefined;
	let lastFrameMillis = ctx.clock.monotonicMillis();

	function isOpen(): boolean {
		return !ending.signal.aborted;
	}

	/** False when the link was closed before, so that nothing can have been written. */
	function send(body: EntryBody): boolean {
		if (!isOpen()) {
			return false;
		}

		call.write({configVersion: ctx.configuration.version(), body});
		return true;
	}

	/** The mailbox is there before the frame is written, so that it learns of a link that ends during the write. */
	function start(attempt: StartAttempt): Mailbox<AttemptEvent> | undefined {
		const mailbox = attempts.open(attempt.attemptId);
		if (send({$case: 'start', start: attempt})) {
			return mailbox;
		}

		attempts.remove(attempt.attemptId);
		return undefined;
	}

	function close(cause: string): void {
		if (!isOpen()) {
			return;
		}

		ending.abort();
		versions.stop();
		call.cancel();
		connection.closeClient();
		ctx.log.info('link closed', {peer: hello?.instanceId, address, cause});
		greeting.push(fail({tag: 'unreachable', detail: `${address}: ${cause}`}));
		tombstones.cancelAll();
		queries.cancelAll();
		attempts.reportLinkLost();
	}

	function deliver(attemptId: AttemptId, event: AttemptEvent): void {
		if (!attempts.deliver(attemptId, event)) {
			ctx.metrics.droppedFrames.inc({reason: 'unknown_attempt'});
		}
	}

	function takeLoad(report: LoadReport): void {
		load = {report, atMillis: ctx.clock.monotonicMillis()};
		if (hello) {
			ctx.observer.onReport(hello, report);
		}
	}

	function receive(body: AgentBody): void {
		match(body)
			.with({$case: 'hello'}, frame => {
				hello = frame.hello;
				isLeaving = frame.hello.leaving;
				greeting.push(succeed(frame.hello));
			})
			.with({$case: 'heartbeat'}, ({heartbeat}) => {
				takeLoad(heartbeat);
			})
			.with({$case: 'leaving'}, frame => {
				isLeaving = frame.leaving.leaving;
			})
			.with({$case: 'accepted'}, ({accepted}) => {
				deliver(accepted.attemptId, {tag: 'accepted'});
			})
			.with({$case: 'data'}, ({data}) => {
				deliver(data.attemptId, {tag: 'data', data});
			})
			.with({$case: 'end'}, ({end}) => {
				deliver(end.attemptId, {tag: 'end', end});
			})
			.with({$case: 'refused'}, ({refused: {attemptId, reason, retryAfterMillis}}) => {
				deliver(attemptId, {tag: 'refused', reason, retryAfterMillis});
			})
			.with({$case: 'broken'}, ({broken: {attemptId, reason}}) => {
				deliver(attemptId, {tag: 'broken', reason});
			})
			.with({$case: 'tombstoned'}, ({tombstoned}) => {
				tombstones.resolve(tombstoned.attemptId, tombstoned);
			})
			.with({$case: 'status'}, ({status}) => {
				queries.resolve(queryId(status), status);
			})
			.with({$case: 'config'}, ({config}) => {
				if (!versions.handleDocument(config)) {
					ctx.metrics.droppedFrames.inc({reason: 'bad_configuration'});
				}
			})
			.with({$case: 'configRequest'}, versions.sendCurrent)
			.exhaustive();
	}

	async function keepAlive(): Promise<void> {
		for (let sequence = 1; isOpen(); sequence++) {
			send({$case: 'heartbeat', heartbeat: {sequence}});
			// The next heartbeat is due only after this wait.
			// eslint-disable-next-line no-await-in-loop
			await ctx.clock.sleep(HEARTBEAT_INTERVAL_MILLIS, ending.signal);
			if (ctx.clock.monotonicMillis() - lastFrameMillis > LINK_IDLE_TIMEOUT_MILLIS) {
				close('silent');
			}
		}
	}

	function takeFrame({configVersion, body}: AgentFrame): void {
		lastFrameMillis = ctx.clock.monotonicMillis();
		versions.handlePeerVersion(configVersion);
		if (body) {
			receive(body);
		}
	}

	call.on('data', (frame: AgentFrame) => {
		if (isOpen()) {
			takeFrame(frame);
		}
	});
	call.on('error', (err: Error) => {
		close(err.message);
	});
	call.on('end', () => {
		close('ended by the agent');
	});
	send({$case: 'hello', hello: createHello(ctx)});
	void keepAlive();

	return {
		address,
		isOpen,
		closed: waitForAbort(ending.signal),
		isDraining: () => isLeaving,
		peerVersion: versions.peerVersion,
		load: () => load,
		inFlight: attempts.size,
		start,
		forget: attempts.remove,
		cancel(attemptId) {
			send({$case: 'cancel', cancel: {attemptId}});
		},
		tombstone: async (attemptId, millis) => tombstones.request(attemptId, () => send({$case: 'tombstone', tombstone: {attemptId}}), millis),
		query: async (query, millis) => queries.request(queryId(query), () => send({$case: 'query', query}), millis),
		close,
	};
}

function createHello({instanceId, incarnation, failureDomain}: LinkContext): EntryHello {
	return {
		instanceId, incarnation, failureDomain, token: '',
	};
}

async function waitForAbort(signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		}, {once: true});
	});
}
