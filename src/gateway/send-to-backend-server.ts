/** Runs one attempt at a backend server and feeds its outcome into load balancing and flow control. */
import {FIRST_EVENT_TIMEOUT_MILLIS, PAUSE_TIMEOUT_FACTOR, PLAIN_TIMEOUT_FACTOR} from '../decisions/flow/flow-constants.js';
import {isInterruption} from '../decisions/flow/stream-concurrency-limit.js';
import {SURVIVED_EVENTS} from '../decisions/quarantine/quarantine-constants.js';
import type {AnswerMetadata} from '../ports/call-codec.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {BackendServer} from './backend-server.js';
import type {Call} from './call.js';
import type {CallProgress} from './call-progress.js';
import type {GatewayContext} from './gateway-context.js';
import type {RoutedCall} from './routed-call.js';
import {runAttempt, type SilenceLimit} from './run-attempt.js';

/** How long the backend server may send nothing before a retryable request is retried elsewhere. */
function createSilenceLimit(ctx: GatewayContext, {route, service}: RoutedCall, server: BackendServer): SilenceLimit {
	const plainMillis = route.targetLatencyMillis * PLAIN_TIMEOUT_FACTOR;
	const pauseMillis = route.maxPauseMillis === undefined ? plainMillis : route.maxPauseMillis * PAUSE_TIMEOUT_FACTOR;
	return {
		firstByteMillis: route.isStreaming ? FIRST_EVENT_TIMEOUT_MILLIS : plainMillis,
		pauseMillis,
		isOtherAlive: () => ctx.progress.hasOtherProgress(service, server.id, ctx.clock.monotonicMillis()),
	};
}

/** Takes what the headers of an answer say about the backend server itself, which holds whether or not the answer is of use to the call. */
function noteNotices(ctx: GatewayContext, {head: {attemptId}}: Call, {id, incarnation}: BackendServer, head: AnswerMetadata): void {
	if (head.isLeaving) {
		ctx.noteLeaving({server: id, incarnation, attemptId});
	}

	if (head.retryAfterMillis !== undefined) {
		ctx.log.info('backend server pause', {server: id, request: attemptId, forMillis: head.retryAfterMillis});
		ctx.serverBackoff.note({server: id, incarnation, forMillis: head.retryAfterMillis}, ctx.clock.monotonicMillis());
	}
}

/**
 * Whether a call at a slow rank is continued elsewhere. A call that may be sent once more is, as far as the retry budget allows: it would
 * delay the streams of the whole group until its end.
 */
function mayMove({slowRanks, readServers}: GatewayContext, {route, service, flow}: RoutedCall, {answer, attempts, triedServers}: CallProgress): boolean {
	const hasOther = [...readServers().values()].some(server =>
		server.service === service && server.state === 'ready' && !slowRanks.isSlow(server.group) && !triedServers.has(server.id));
	return route.retryRule !== 'at_most_once' && answer.canContinue && attempts + 1 < route.maxAttempts && hasOther && flow.retryBudget.tryTake();
}

/** Backend server of an attempt and the time left for it. */
export type AttemptTarget = Readonly<{server: BackendServer; leftMillis: number}>;

/** Sends the call to the backend server and forwards what can be forwarded before the answer is complete. */
export async function sendToBackendServer(ctx: GatewayContext, routed: RoutedCall, progress: CallProgress, {server, leftMillis}: AttemptTarget): Promise<AttemptOutcome> {
	const {call, route, flow, account, service, prompt} = routed;
	const {answer} = progress;
	const startedAtMillis = ctx.clock.monotonicMillis();
	let firstByteMillis: number | undefined;
	let eventCount = 0;
	/** Last pause between two events, as a ratio to the longest one that is on time. */
	let previousRatio: number | undefined;
	progress.triedServers.add(server.id);
	ctx.picker.noteStart(server.id);
	if (prompt) {
		flow.promptLoad.assign(prompt, server.id);
	}

	const notePromptRead = () => {
		if (prompt) {
			flow.promptLoad.end(prompt);
		}
	};

	const moving = new AbortController();
	const stopWatching = ctx.slowRanks.registerListener(() => {
		if (!moving.signal.aborted && ctx.slowRanks.isSlow(server.group) && mayMove(ctx, routed, progress)) {
			moving.abort();
		}
	});
	const outcome = await runAttempt(ctx, call, {
		address: server.address,
		headers: ctx.codec.forwardHeaders(call.headers, {
			serverId: server.id,
			account,
			deadlineMillis: Math.max(1, Math.floor(leftMillis)),
			lastEventId: answer.lastEventId === undefined ? call.head.lastEventId : String(answer.lastEventId),
			priority: account?.priority ?? route.priority,
		}),
		allowsLongIdleConnection: route.retryRule !== 'at_most_once',
		maxIdleConnections: flow.readMaxIdleConnections(),
		timeoutMillis: leftMillis,
		moveSignal: moving.signal,
		cutOffSignal: ctx.cutOffSignal,
		silenceLimit: route.retryRule === 'at_most_once' ? undefined : createSilenceLimit(ctx, routed, server),
		onProgress() {
			ctx.progress.note(service, server.id, ctx.clock.monotonicMillis());
		},
		sink: {
			reply: call.reply,
			clock: ctx.clock,
			isStreaming: route.isStreaming,
			progress: answer,
			onEvent(pauseMillis) {
				notePromptRead();
				eventCount++;
				if (eventCount === SURVIVED_EVENTS) {
					ctx.quarantine.noteSound(routed.content);
				}

				flow.outageDetector.noteServed(ctx.clock.monotonicMillis());
				if (server.group) {
					ctx.groupRefusals.noteServed(server.group);
				}

				firstByteMillis ??= ctx.clock.monotonicMillis() - startedAtMillis;
				progress.firstByteMillis ??= ctx.clock.monotonicMillis() - call.arrivedAtMillis;
				progress.longestPauseMillis = Math.max(progress.longestPauseMillis, pauseMillis ?? 0);
				if (pauseMillis !== undefined && route.maxPauseMillis !== undefined) {
					const ratio = pauseMillis / route.maxPauseMillis;
					if (!isInterruption(ratio, previousRatio)) {
						flow.concurrencyLimit.notePause(ratio, flow.permitQueue.countInFlight(), ctx.clock.monotonicMillis());
					}

					previousRatio = ratio;
				}
			},
		},
		onHead(head) {
			firstByteMillis ??= ctx.clock.monotonicMillis() - startedAtMillis;
			if (head.status < 400) {
				flow.outageDetector.noteServed(ctx.clock.monotonicMillis());
			}

			if (head.isSigned || head.isNotRun) {
				ctx.statedLimits.note({
					server: server.id, incarnation: server.incarnation, requestsPerSecond: head.requestsPerSecond, sentAtMillis: startedAtMillis,
				});
			}

			if (head.load) {
				ctx.picker.noteLoad(server.id, head.load);
				flow.promptLoad.noteWaiting(server.id, head.load.waiting, ctx.clock.monotonicMillis());
			}
		},
		onAnyHead(head) {
			noteNotices(ctx, call, server, head);
		},
	});
	stopWatching();
	notePromptRead();
	if (firstByteMillis !== undefined) {
		flow.firstByteEstimate.note(firstByteMillis, firstByteMillis > route.targetLatencyMillis, ctx.clock.monotonicMillis());
	}

	progress.attempts += outcome.tag === 'not_sent' ? 0 : 1;
	recordOutcome(ctx, server, outcome, firstByteMillis);
	ctx.evacuationProgress.noteAttemptEnd(server);
	if (eventCount < SURVIVED_EVENTS) {
		await recordSurvival(ctx, routed, outcome, {server, sentAtMillis: startedAtMillis});
	}

	if (outcome.tag !== 'passed' && !(outcome.tag === 'answered' && outcome.head.status < 400)) {
		ctx.log.info('attempt failed', {
			request: call.head.attemptId,
			route: route.name,
			account: account?.name,
			promptParts: call.head.promptParts.join(' ') || undefined,
			fingerprint: routed.content.fingerprint,
			server: server.id,
			end: outcome.tag,
			detail: 'detail' in outcome ? outcome.detail : undefined,
			cause: 'cause' in outcome ? outcome.cause : undefined,
			status: 'head' in outcome ? outcome.head.status : undefined,
			faultyServer: 'head' in outcome ? outcome.head.faultyServer : undefined,
			events: eventCount,
			lastEventId: answer.lastEventId,
			tookMillis: Math.round(ctx.clock.monotonicMillis() - startedAtMillis),
		});
	}

	return outcome;
}

/** Where and when an attempt was sent. */
type SentAttempt = Readonly<{server: BackendServer; sentAtMillis: number}>;

/** Learns from an attempt that ended before the backend server had survived the beginning of an answer, which requests crash it. */
async function recordSurvival(ctx: GatewayContext, {call, content}: RoutedCall, outcome: AttemptOutcome, {server, sentAtMillis}: SentAttempt): Promise<void> {
	if (outcome.tag === 'lost') {
		const noted = ctx.crashWatch.noteLost(server, call, content, sentAtMillis);
		// A backend server that crashes ends its connections. One that falls silent is looked at for prompts, which another one must not get meanwhile.
		if (!outcome.isSilent || content.parts.length > 0) {
			await noted;
		}
	} else if (outcome.tag === 'passed' || (outcome.tag === 'answered' && outcome.head.status < 300)) {
		ctx.quarantine.noteSound(content);
	}
}

function recordOutcome(ctx: GatewayContext, server: BackendServer, outcome: AttemptOutcome, firstByteMillis: number | undefined): void {
	switch (outcome.tag) {
		case 'passed':
		case 'answered': {
			const isFailure = outcome.tag === 'answered' && outcome.head.status >= 500;
			ctx.picker.noteEnd(server.id, isFailure ? 'failed' : 'served', firstByteMillis);
			break;
		}

		case 'not_run': {
			const {faultyServer} = outcome.head;
			if (server.group && faultyServer !== undefined && faultyServer !== server.id) {
				ctx.groupRefusals.note(server.group, ctx.clock.monotonicMillis());
			}

			// One that says when to come back is not failing.
			ctx.picker.noteEnd(server.id, outcome.head.retryAfterMillis === undefined ? 'refused' : 'served');
			break;
		}

		case 'not_sent':
		case 'lost': {
			if (outcome.tag === 'not_sent') {
				ctx.coldEngines.noteUnreachable(server.id);
			}

			ctx.connections.closeIdleConnections(server.address);
			ctx.picker.noteEnd(server.id, 'failed');
			break;
		}

		case 'late': {
			ctx.picker.noteEnd(server.id, firstByteMillis === undefined ? 'failed' : 'served');
			break;
		}

		case 'moved':
		case 'caller_left': {
			ctx.picker.noteEnd(server.id, 'served');
			break;
		}
	}
}

