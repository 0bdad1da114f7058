/**
 * The link to one entry: a task that reads its frames and a task that sends heartbeats.
 *
 * Each start frame is served in a task of its own. When the link closes, streams are cancelled at the engine, while
 * calls to a plain service continue.
 */
import {on} from 'node:events';
import {status as grpcStatus} from '@grpc/grpc-js';
import {match, P} from 'ts-pattern';
import {createConfigDocument, parseConfigDocument} from '../configuration/configuration-document.js';
import type {AttemptId, ConfigVersion} from '../core/ids.js';
import {InvariantError} from '../core/invariant.js';
import {digestKey} from '../ledger/key-digest.js';
import type {
	AttemptQuery, AttemptStatus, ConfigDocument, EntryFrame, StartAttempt,
} from '../wire/generated/link.js';
import {HEARTBEAT_INTERVAL_MILLIS, LINK_IDLE_TIMEOUT_MILLIS} from './agent-constants.js';
import type {AgentParts, EntryChannel} from './agent-parts.js';
import {createEntryChannel, type EntryCall} from './entry-channel.js';
import {createLoadReport} from './load-report.js';
import {serveAttempt} from './serve-attempt.js';

/** Why the agent closes a link. Each reason has its own counter. */
type CloseReason = 'unauthorised' | 'silent' | 'bad_frame';

type LinkState = Readonly<{
	parts: AgentParts;
	call: EntryCall;
	channel: EntryChannel;
	/** Cancel the attempts that this link started; only streams heed them. */
	cancellations: Map<AttemptId, AbortController>;
	close: (reason: CloseReason) => void;
	/** Monotonic time of the last frame, in milliseconds. */
	lastFrameMillis: () => number;
	recordFrame: () => void;
}>;

/** Serves an entry until its link closes. Never rejects. */
export async function serveEntry(parts: AgentParts, call: EntryCall): Promise<void> {
	if (!parts.ctx.linkAccess.isAuthorised(call.metadata)) {
		rejectCall(parts, call, 'unauthorised');
		return;
	}

	const closing = new AbortController();
	const link = createLinkState(parts, call, closing.signal);
	const stopAnnouncements = registerAnnouncements(link);
	const endCall = () => {
		call.end();
	};

	parts.ctx.lifeCycle.signal.addEventListener('abort', endCall, {once: true});
	parts.ctx.metrics.links.inc();
	void link.channel.send({$case: 'hello', hello: createHello(parts)});
	void sendHeartbeats(link);
	await readFrames(link);
	closing.abort();
	stopAnnouncements();
	parts.ctx.metrics.links.dec();
	for (const cancellation of link.cancellations.values()) {
		cancellation.abort();
	}

	parts.ctx.lifeCycle.signal.removeEventListener('abort', endCall);
	call.end();
}

function createLinkState(parts: AgentParts, call: EntryCall, signal: AbortSignal): LinkState {
	let lastFrameMillis = parts.ctx.clock.monotonicMillis();
	return {
		parts,
		call,
		channel: createEntryChannel(call, parts.ctx.configuration, signal),
		cancellations: new Map(),
		close(reason) {
			rejectCall(parts, call, reason);
		},
		lastFrameMillis: () => lastFrameMillis,
		recordFrame() {
			lastFrameMillis = parts.ctx.clock.monotonicMillis();
		},
	};
}

function rejectCall(parts: AgentParts, call: EntryCall, reason: CloseReason): void {
	parts.ctx.metrics.rejectedConnections.inc({reason});
	parts.ctx.log.warn('link closed', {peer: call.getPeer(), reason});
	const code = reason === 'unauthorised' ? grpcStatus.UNAUTHENTICATED : grpcStatus.ABORTED;
	call.emit('error', Object.assign(new Error(reason), {code, details: reason}));
}

function createHello({ctx, settings, drainState}: AgentParts) {
	return {
		instanceId: settings.instanceId,
		incarnation: ctx.incarnation,
		failureDomain: settings.failureDomain,
		service: settings.service,
		group: settings.group,
		rank: settings.rank,
		leaving: drainState.isDraining(),
	};
}

/** Sends each change of the drain state, and each configuration that comes into force, to the entry immediately. */
function registerAnnouncements({parts, channel}: LinkState): () => void {
	const stopDrainState = parts.drainState.registerListener(isDraining => {
		void channel.send({$case: 'leaving', leaving: {leaving: isDraining}});
	});
	const stopConfiguration = parts.ctx.configuration.registerListener(configuration => {
		void channel.send({$case: 'config', config: createConfigDocument(configuration)});
	});
	return () => {
		stopDrainState();
		stopConfiguration();
	};
}

async function sendHeartbeats(link: LinkState): Promise<void> {
	const {parts, channel} = link;
	const {clock} = parts.ctx;
	let cursor = 0;
	for (let sequence = 1; !channel.signal.aborted; sequence += 1) {
		if (clock.monotonicMillis() - link.lastFrameMillis() > LINK_IDLE_TIMEOUT_MILLIS) {
			link.close('silent');
			return;
		}

		const next = createLoadReport(parts, sequence, cursor);
		cursor = next.cursor;
		// Heartbeats do not wait until the stream can take more: only missing frames show that the entry is unreachable.
		void channel.send({$case: 'heartbeat', heartbeat: next.report});
		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(HEARTBEAT_INTERVAL_MILLIS, channel.signal);
	}
}

/** Reads frames until the stream ends, fails or is closed. */
async function readFrames(link: LinkState): Promise<void> {
	try {
		// The stream's own iterator would destroy it on a failure, before the status, which is queued after pending frames, is sent.
		const frames: AsyncIterable<readonly EntryFrame[]> = on(link.call, 'data', {close: ['end', 'close']});
		for await (const frame of flatten(frames)) {
			link.recordFrame();
			compareVersions(link, frame.configVersion);
			handleFrame(link, frame);
		}
	} catch (error) {
		if (error instanceof InvariantError) {
			throw error;
		}

		link.parts.ctx.log.info('link lost', {peer: link.call.getPeer(), detail: String(error)});
	}
}

async function * flatten(events: AsyncIterable<readonly EntryFrame[]>): AsyncGenerator<EntryFrame, void> {
	for await (const frames of events) {
		yield * frames;
	}
}

/** Sends the configuration to an entry with an older version, and requests it from an entry with a newer one. */
function compareVersions({parts, channel}: LinkState, entryVersion: ConfigVersion): void {
	const {configuration} = parts.ctx;
	const own = configuration.read();
	if (own && entryVersion < own.version) {
		void channel.send({$case: 'config', config: createConfigDocument(own)});
	}

	if (entryVersion > configuration.version()) {
		void channel.send({$case: 'configRequest', configRequest: {knownVersion: configuration.version()}});
	}
}

function handleFrame(link: LinkState, {configVersion, body}: EntryFrame): void {
	match(body)
		.with({$case: 'start'}, ({start}) => {
			void startAttempt(link, start, configVersion);
		})
		.with({$case: 'cancel'}, ({cancel}) => {
			link.cancellations.get(cancel.attemptId)?.abort();
		})
		.with({$case: 'tombstone'}, ({tombstone}) => {
			tombstoneAttempt(link, tombstone.attemptId);
		})
		.with({$case: 'query'}, ({query}) => {
			void link.channel.send({$case: 'status', status: readStatus(link.parts, query)});
		})
		.with({$case: 'config'}, ({config}) => {
			handleConfiguration(link, config);
		})
		.with({$case: 'configRequest'}, () => {
			sendConfiguration(link);
		})
		.with({$case: P.union('hello', 'heartbeat')}, () => {
			// These frames only show that the entry is alive.
		})
		.with(undefined, () => {
			link.close('bad_frame');
		})
		.exhaustive();
}

async function startAttempt(link: LinkState, start: StartAttempt, entryVersion: ConfigVersion): Promise<void> {
	if (start.attemptId === '' || start.account === '') {
		link.close('bad_frame');
		return;
	}

	const cancellation = new AbortController();
	link.cancellations.set(start.attemptId, cancellation);
	const {parts, channel} = link;
	await serveAttempt({
		parts, channel, start, signal: cancellation.signal,
	}, entryVersion);
	link.cancellations.delete(start.attemptId);
}

/** Records a tombstone. The ledger is checked too, since it holds calls that have expired from the attempt table. */
function tombstoneAttempt({parts, channel}: LinkState, attemptId: AttemptId): void {
	const recorded = !parts.ledger.hasAttempt(attemptId) && parts.attempts.recordTombstone(attemptId);
	if (recorded) {
		parts.ctx.audit.append({
			kind: 'not_run', attemptId, requestId: '', reason: 'tombstone', proof: 'tombstone',
		}, 'may_drop');
	}

	void channel.send({$case: 'tombstoned', tombstoned: {attemptId, recorded}});
}

function readStatus(parts: AgentParts, {attemptId, account, idempotencyKey}: AttemptQuery): AttemptStatus {
	const state = idempotencyKey === ''
		? parts.attempts.readState(attemptId)
		: (parts.ledger.readState(digestKey(account, idempotencyKey))?.tag ?? 'never_seen');
	return {attemptId, idempotencyKey, state};
}

function handleConfiguration(link: LinkState, document: ConfigDocument): void {
	const parsed = parseConfigDocument(document);
	if (parsed.ok) {
		link.parts.ctx.configuration.offer(parsed.value);
		return;
	}

	link.close('bad_frame');
}

function sendConfiguration({parts, channel}: LinkState): void {
	const own = parts.ctx.configuration.read();
	if (own) {
		void channel.send({$case: 'config', config: createConfigDocument(own)});
	}
}
