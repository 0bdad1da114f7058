/** Sends the final answer of a call to its caller and records how the call ended. */
import {Buffer} from 'node:buffer';
import type {Finding} from '../decisions/quarantine/finding.js';
import type {LogContext} from '../observability/log.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {Call} from './call.js';
import type {CallProgress} from './call-progress.js';
import type {GatewayContext} from './gateway-context.js';
import {
	getRefusalHeaders, getRefusalStatus, createNotRunRefusal, type NotRunCause, type Refusal,
} from './refusal.js';
import type {RoutedCall} from './routed-call.js';

const MILLIS_PER_SECOND = 1000;

function readElapsedMillis(ctx: GatewayContext, call: Call): number {
	return Math.round(ctx.clock.monotonicMillis() - call.arrivedAtMillis);
}

/** Sends a refusal, or aborts the answer if its headers have already been sent. */
export function refuseCall(ctx: GatewayContext, call: Call, refusal: Refusal, detail: LogContext = {}): void {
	ctx.metrics.refusals.inc({reason: refusal.reason});
	ctx.log.info('refused', {
		request: call.head.attemptId,
		deadlineMillis: call.head.deadlineMillis,
		retryAfterMillis: refusal.tag === 'not_run' ? refusal.retryAfterMillis : undefined,
		outcome: refusal.tag,
		reason: refusal.reason,
		elapsedMillis: readElapsedMillis(ctx, call),
		broken: call.reply.areHeadersSent(),
		...detail,
	});
	if (call.reply.areHeadersSent()) {
		call.reply.abort();
		return;
	}

	call.reply.writeHead(getRefusalStatus(refusal), getRefusalHeaders(refusal));
	call.reply.write(Buffer.from(`${JSON.stringify({outcome: refusal.tag, reason: refusal.reason})}\n`));
	call.reply.end();
}

/** Why a call is not tried at any further backend server, and when to come back if that is known; `finding` tells more of the cause `quarantined`. */
export type GiveUp = Readonly<{cause: NotRunCause; retryAfterMillis?: number; finding?: Finding}>;

/** Fields of a log line that name what is held to crash backend servers, and those that crashed. */
export function describeFinding(finding: Finding): LogContext {
	const crashed = finding.crashes.map(({server}) => server).join(' ');
	return finding.tag === 'parts' ? {parts: finding.parts.join(' '), crashed} : {fingerprint: finding.fingerprint, crashed};
}

/** Ends a call whose attempts produced no answer to deliver. */
export function finishUnanswered(ctx: GatewayContext, routed: RoutedCall, progress: CallProgress, {cause, retryAfterMillis, finding}: GiveUp): void {
	const {call} = routed;
	if (call.disconnectSignal.aborted) {
		recordCall(ctx, routed, progress, 'caller_left');
		return;
	}

	if (progress.failure && !call.reply.areHeadersSent()) {
		finishCall(ctx, routed, progress, progress.failure);
		return;
	}

	recordCall(ctx, routed, progress, progress.mayHaveRun ? 'unknown' : 'not_run');
	const refusal: Refusal = progress.mayHaveRun
		? {tag: 'unknown', reason: cause === 'deadline' ? 'late' : 'lost'}
		: createNotRunRefusal(cause, retryAfterMillis ?? routed.flow.outageDetector.chooseRetryAfterMillis(ctx.clock.monotonicMillis(), call.head.deadlineMillis));
	refuseCall(ctx, call, refusal, {
		route: routed.route.name, cause, attempts: progress.attempts, asked: [...progress.triedServers].join(' '), ...(finding && describeFinding(finding)),
	});
}

/** Ends a call with the outcome of its last attempt. */
export function finishCall(ctx: GatewayContext, routed: RoutedCall, progress: CallProgress, outcome: AttemptOutcome): void {
	const {call} = routed;
	switch (outcome.tag) {
		case 'answered': {
			deliverAnswer(ctx, routed, progress, outcome);
			break;
		}

		case 'passed': {
			recordCall(ctx, routed, progress, 'answered');
			call.reply.end();
			break;
		}

		case 'caller_left': {
			recordCall(ctx, routed, progress, 'caller_left');
			break;
		}

		case 'late':
		case 'lost':
		case 'moved':
		case 'not_run':
		case 'not_sent': {
			recordCall(ctx, routed, progress, 'unknown');
			refuseCall(ctx, call, {tag: 'unknown', reason: outcome.tag === 'late' ? 'late' : 'lost'}, {
				route: routed.route.name, cause: 'cause' in outcome ? outcome.cause : undefined, attempts: progress.attempts,
			});
		}
	}
}

/** Delivers a complete answer, unless another one has begun: its body would be read as a part of that one. */
function deliverAnswer(ctx: GatewayContext, routed: RoutedCall, progress: CallProgress, {head, body}: Extract<AttemptOutcome, {tag: 'answered'}>): void {
	const {reply} = routed.call;
	if (reply.areHeadersSent()) {
		recordCall(ctx, routed, progress, 'unknown');
		refuseCall(ctx, routed.call, {tag: 'unknown', reason: 'lost'}, {route: routed.route.name, attempts: progress.attempts, status: head.status});
		return;
	}

	recordCall(ctx, routed, progress, 'answered');
	reply.writeHead(head.status, head.forwardedHeaders);
	reply.write(body);
	reply.end();
}

/** Updates the metrics and writes the log line of a finished call. */
function recordCall(ctx: GatewayContext, routed: RoutedCall, progress: CallProgress, outcome: string): void {
	const {call, cfg, route, service, account, waitedMillis, flow, prompt} = routed;
	const {triedServers, attempts, answer, firstByteMillis, longestPauseMillis} = progress;
	const kind = route.isStreaming ? 'stream' : route.retryRule;
	ctx.metrics.calls.inc({kind, outcome});
	ctx.metrics.inFlight.set({service}, flow.permitQueue.countInFlight());
	ctx.metrics.limit.set({service}, flow.permitQueue.readLimit());
	const leastUrgent = flow.readPriorities().at(-1);
	if (leastUrgent !== undefined && flow.readPriorities().length > 1) {
		ctx.metrics.reservedPermits.set({service}, flow.permitQueue.readReserve(leastUrgent));
		ctx.metrics.lentPermits.set({service}, ctx.permitLoans.countLent(service));
		ctx.metrics.borrowedPermits.set({service}, ctx.permitLoans.countBorrowed(service));
	}

	if (firstByteMillis !== undefined) {
		ctx.metrics.firstByteSeconds.observe({kind}, firstByteMillis / MILLIS_PER_SECOND);
	}

	if (prompt) {
		ctx.metrics.unreadPromptTokens.set({service}, flow.promptLoad.countTokens());
		if (firstByteMillis !== undefined) {
			ctx.metrics.firstEventSeconds.observe({service, prompt: flow.promptSizes.classify(prompt.tokens)}, firstByteMillis / MILLIS_PER_SECOND);
		}
	}

	ctx.log.debug('call', {
		request: call.head.attemptId,
		deadlineMillis: call.head.deadlineMillis,
		route: route.name,
		service,
		account: account?.name,
		promptTokens: call.head.promptTokens,
		maxOutputTokens: call.head.maxOutputTokens,
		promptParts: call.head.promptParts.join(' ') || undefined,
		fingerprint: routed.content.fingerprint,
		version: cfg.version,
		configurationAgeMillis: Math.round(ctx.configuration.ageMillis()),
		waitedMillis: Math.round(waitedMillis),
		servers: [...triedServers].join(' '),
		attempts,
		lastEventId: answer.lastEventId,
		firstByteMillis: firstByteMillis === undefined ? undefined : Math.round(firstByteMillis),
		longestPauseMillis: Math.round(longestPauseMillis),
		inFlight: flow.permitQueue.countInFlight(),
		limit: Math.round(flow.permitQueue.readLimit()),
		outcome,
		elapsedMillis: readElapsedMillis(ctx, call),
	});
}
