/**
 * One gRPC stream from this entry to an agent.
 *
 * A link is returned only after the agent's hello, so attempts are written to a stream that is known to work.
 * Each link has its own connection: a replacement link never reuses the connection that timed out.
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

function createQueryId(query: Readonly<{attemptId: string; idempotencyKey: string}>): string {
	return `${query.attemptId} ${query.idempotencyKey}`;
}

/** Opens a link: connects, sends the entry's hello, and waits for the agent's hello. */
export async function openAgentLink(ctx: LinkContext, address: string): Promise<Result<AgentLink, LinkError>> {
	const client = new AgentLinkClient(address, ctx.linkAccess.channel, CLIENT_OPTIONS);
	const call = client.connect(ctx.linkAccess.createMetadata());
	const helloMailbox = createMailbox<Result<AgentHello, LinkError>>();
	const link = createLink(ctx, {
		address, call, helloMailbox, closeClient() {
			client.close();
		},
	});

	const hello = await helloMailbox.take(ctx.clock, HELLO_TIMEOUT_MILLIS);
	if (!hello) {
		link.close('no_hello');
		return fail({tag: 'no_hello', detail: `${address} sent no hello`});
	}

	return hello.ok ? succeed({...link, hello: hello.value}) : hello;
}

type Connection = Readonly<{
	address: string;
	call: ClientDuplexStream<EntryFrame, AgentFrame>;
	helloMailbox: Mailbox<Result<AgentHello, LinkError>>;
	closeClient: () => void;
}>;

/** Handles the frames of a link and keeps the agent's latest hello, load report and drain state. */
function createLink(ctx: LinkContext, connection: Connection): Omit<AgentLink, 'hello'> {
	const {address, call, helloMailbox} = connection;
	const attempts = createAttemptMailboxes();
	const tombstones = createPendingReplies<TombstoneReply>(ctx.clock);
	const queries = createPendingReplies<AttemptStatus>(ctx.clock);
	const closing = new AbortController();
	const versions = startVersionExchange(ctx.configuration, body => {
		send(body);
	});
	let hello: AgentHello | undefined;
	let isDraining = false;
	let load: ReceivedLoad | undefined;
	let lastFrameMillis = ctx.clock.monotonicMillis();

	function isOpen(): boolean {
		return !closing.signal.aborted;
	}

	/** False when the link was already closed, in which case nothing was written. */
	function send(body: EntryBody): boolean {
		if (!isOpen()) {
			return false;
		}

		call.write({configVersion: ctx.configuration.version(), body});
		return true;
	}

	/** Opens the mailbox before writing the frame, so that it receives `link_lost` if the link closes during the write. */
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

		closing.abort();
		versions.stop();
		call.cancel();
		connection.closeClient();
		ctx.log.info('link closed', {peer: hello?.instanceId, address, cause});
		helloMailbox.push(fail({tag: 'unreachable', detail: `${address}: ${cause}`}));
		tombstones.cancelAll();
		queries.cancelAll();
		attempts.reportLinkLost();
	}

	function deliver(attemptId: AttemptId, event: AttemptEvent): void {
		if (!attempts.deliver(attemptId, event)) {
			ctx.metrics.droppedFrames.inc({reason: 'unknown_attempt'});
		}
	}

	function handleLoadReport(report: LoadReport): void {
		load = {report, atMillis: ctx.clock.monotonicMillis()};
		if (hello) {
			ctx.observer.onReport(hello, report);
		}
	}

	function handleBody(body: AgentBody): void {
		match(body)
			.with({$case: 'hello'}, frame => {
				hello = frame.hello;
				isDraining = frame.hello.leaving;
				helloMailbox.push(succeed(frame.hello));
			})
			.with({$case: 'heartbeat'}, ({heartbeat}) => {
				handleLoadReport(heartbeat);
			})
			.with({$case: 'leaving'}, frame => {
				isDraining = frame.leaving.leaving;
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
				queries.resolve(createQueryId(status), status);
			})
			.with({$case: 'config'}, ({config}) => {
				if (!versions.handleDocument(config)) {
					ctx.metrics.droppedFrames.inc({reason: 'bad_configuration'});
				}
			})
			.with({$case: 'configRequest'}, versions.sendCurrent)
			.exhaustive();
	}

	async function sendHeartbeats(): Promise<void> {
		for (let sequence = 1; isOpen(); sequence++) {
			send({$case: 'heartbeat', heartbeat: {sequence}});
			// Heartbeats are sent at this interval, one at a time.
			// eslint-disable-next-line no-await-in-loop
			await ctx.clock.sleep(HEARTBEAT_INTERVAL_MILLIS, closing.signal);
			if (ctx.clock.monotonicMillis() - lastFrameMillis > LINK_IDLE_TIMEOUT_MILLIS) {
				close('silent');
			}
		}
	}

	function handleFrame({configVersion, body}: AgentFrame): void {
		lastFrameMillis = ctx.clock.monotonicMillis();
		versions.handlePeerVersion(configVersion);
		if (body) {
			handleBody(body);
		}
	}

	call.on('data', (frame: AgentFrame) => {
		if (isOpen()) {
			handleFrame(frame);
		}
	});
	call.on('error', (err: Error) => {
		close(err.message);
	});
	call.on('end', () => {
		close('ended by the agent');
	});
	send({$case: 'hello', hello: createHello(ctx)});
	void sendHeartbeats();

	return {
		address,
		isOpen,
		closed: waitForAbort(closing.signal),
		isDraining: () => isDraining,
		peerVersion: versions.peerVersion,
		load: () => load,
		inFlight: attempts.size,
		start,
		forget: attempts.remove,
		cancel(attemptId) {
			send({$case: 'cancel', cancel: {attemptId}});
		},
		tombstone: async (attemptId, millis) => tombstones.request(attemptId, () => send({$case: 'tombstone', tombstone: {attemptId}}), millis),
		query: async (query, millis) => queries.request(createQueryId(query), () => send({$case: 'query', query}), millis),
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
