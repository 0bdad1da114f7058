/** Serves one call: finds its route, waits for a place, and asks backend servers until there is an answer to give. */
import {Buffer} from 'node:buffer';
import {MAX_WAIT_SHARE} from '../decisions/flow/flow-constants.js';
import type {FlowRequest} from '../decisions/flow/flow-lane.js';
import {drawService} from '../routing/route-table.js';
import type {RoutedAccount, Route, RoutingConfiguration} from '../routing/routing-configuration.js';
import type {AttemptEnd} from './attempt-end.js';
import type {AnswerProgress} from './answer-sink.js';
import type {BackendServer} from './backend-server.js';
import type {Call} from './call.js';
import {DEFAULT_RETRY_AFTER_MILLIS, LEAST_ATTEMPT_MILLIS, RETURN_MARGIN_MILLIS} from './gateway-constants.js';
import type {GatewayContext} from './gateway-context.js';
import {chooseNextStep} from './next-step.js';
import {
	chooseHeaders, chooseStatus, type NotRunCause, type Refusal,
} from './refusal.js';
import {runAttempt} from './run-attempt.js';
import type {ServiceFlow} from './service-flows.js';

/** A call with everything that was found out about it. */
type RoutedCall = Readonly<{
	call: Call;
	cfg: RoutingConfiguration;
	route: Route;
	service: string;
	account: RoutedAccount | undefined;
	/** Monotonic time by which the call is over. */
	deadlineMillis: number;
	flow: ServiceFlow;
	/** Time that it waited for a place. */
	waitedMillis: number;
}>;

function notRun(reason: NotRunCause, retryAfterMillis = DEFAULT_RETRY_AFTER_MILLIS): Refusal {
	return {tag: 'not_run', reason, retryAfterMillis};
}

/** Gives an answer of this process's own, or breaks off an answer that has begun. */
function refuse(ctx: GatewayContext, call: Call, refusal: Refusal, detail: Readonly<Record<string, string | number | boolean | undefined>> = {}): void {
	ctx.metrics.refusals.inc({reason: refusal.reason});
	ctx.log.info('refused', {
		request: call.head.attemptId,
		deadlineMillis: call.head.deadlineMillis,
		outcome: refusal.tag,
		reason: refusal.reason,
		elapsedMillis: elapsed(ctx, call),
		broken: call.reply.hasHead(),
		...detail,
	});
	if (call.reply.hasHead()) {
		call.reply.breakOff();
		return;
	}

	call.reply.writeHead(chooseStatus(refusal), chooseHeaders(refusal));
	call.reply.write(Buffer.from(`${JSON.stringify({outcome: refusal.tag, reason: refusal.reason})}\n`));
	call.reply.end();
}

function elapsed(ctx: GatewayContext, call: Call): number {
	return Math.round(ctx.clock.monotonicMillis() - call.arrivedAtMillis);
}

/** Finds route, account and service of a call, or why it cannot be served. */
function routeCall(ctx: GatewayContext, call: Call): RoutedCall | Refusal {
	const inForce = ctx.configuration.read();
	if (!inForce) {
		return notRun('no_configuration');
	}

	const {cfg, routes} = inForce;
	const route = routes.lookUp(call.host, call.path);
	if (!route) {
		return ctx.configuration.isFresh() ? {tag: 'bad_call', reason: 'unknown_route'} : notRun('stale_configuration');
	}

	const account = call.head.credential === undefined ? undefined : cfg.accounts?.get(call.head.credential);
	if (cfg.accounts && !route.isPublic && !account) {
		return ctx.configuration.isFresh() ? {tag: 'bad_call', reason: 'unknown_credential'} : notRun('stale_configuration');
	}

	if (call.head.attemptId === undefined) {
		return {tag: 'bad_call', reason: 'no_attempt_id'};
	}

	const service = drawService(route, ctx.random);
	if (service === undefined) {
		return notRun('no_backend_server');
	}

	const limitMillis = Math.min(route.timeoutMillis, call.head.deadlineMillis ?? Infinity);
	return {
		call, cfg, route, service, account: route.isPublic ? undefined : account, deadlineMillis: call.arrivedAtMillis + limitMillis, flow: ctx.flows.read(service), waitedMillis: 0,
	};
}

function isRefusal(found: RoutedCall | Refusal): found is Refusal {
	return 'tag' in found;
}

/** Backend servers that may get the call, without those that were asked already. */
function listCandidates(ctx: GatewayContext, service: string, asked: ReadonlySet<string>): readonly BackendServer[] {
	return [...ctx.readServers().values()].filter(server =>
		server.service === service && server.state === 'ready' && server.group?.isOpen !== false && !asked.has(server.id));
}

/** How long the call may wait for a place. */
function describeWait(ctx: GatewayContext, {call, route, account, flow}: RoutedCall): FlowRequest {
	const expectedMillis = flow.firstByte.read(ctx.clock.monotonicMillis());
	return {
		account: account?.name ?? '',
		priority: account?.priority ?? route.priority,
		onTimeWaitMillis: Math.max(0, route.targetLatencyMillis - expectedMillis),
		maxWaitMillis: Math.min((call.head.deadlineMillis ?? Infinity) / 2, route.targetLatencyMillis * MAX_WAIT_SHARE),
	};
}

/** Serves the call to its end. Never rejects. */
export async function serveCall(ctx: GatewayContext, call: Call): Promise<void> {
	const found = routeCall(ctx, call);
	if (isRefusal(found)) {
		refuse(ctx, call, found, {
			host: call.host, path: call.path, version: ctx.configuration.read()?.cfg.version, configurationAgeMillis: Math.round(ctx.configuration.ageMillis()),
		});
		return;
	}

	const {route, flow} = found;
	flow.budget.noteRequest();
	const placed = await flow.lane.admit(describeWait(ctx, found), call.gone);
	if (placed.tag === 'refused') {
		if (!call.gone.aborted) {
			refuse(ctx, call, notRun('overload', placed.retryAfterMillis), {
				route: route.name, inFlight: flow.lane.countInFlight(), waiting: flow.lane.countWaiting(), limit: flow.limit.read(),
			});
		}

		return;
	}

	try {
		await askBackendServers(ctx, {...found, waitedMillis: ctx.clock.monotonicMillis() - call.arrivedAtMillis});
	} finally {
		placed.release();
	}
}

/** State of a call over its attempts. */
type Progress = {
	readonly asked: Set<string>;
	readonly answer: AnswerProgress;
	attempts: number;
	/** Whether an attempt may have run. */
	mayHaveRun: boolean;
	lastCause: NotRunCause;
	/** Time from arrival to the first byte of an answer; undefined before it. */
	firstByteMillis: number | undefined;
	/** Longest time between two events. */
	longestPauseMillis: number;
	/** Failure answer of a backend server, given when no other attempt is made. */
	failure: Extract<AttemptEnd, {tag: 'answered'}> | undefined;
};

async function askBackendServers(ctx: GatewayContext, routed: RoutedCall): Promise<void> {
	const {call, route} = routed;
	const progress: Progress = {
		asked: new Set(), answer: {lastEventId: readLastEventId(call), lastEventAtMillis: undefined}, attempts: 0, mayHaveRun: false, lastCause: 'no_backend_server', failure: undefined, firstByteMillis: undefined, longestPauseMillis: 0,
	};
	/* eslint-disable no-await-in-loop -- One attempt after the other. */
	for (;;) {
		const leftMillis = routed.deadlineMillis - ctx.clock.monotonicMillis() - RETURN_MARGIN_MILLIS;
		if (leftMillis < LEAST_ATTEMPT_MILLIS) {
			finishWithout(ctx, routed, progress, 'deadline');
			return;
		}

		const server = ctx.picker.pick(listCandidates(ctx, routed.service, progress.asked));
		if (!server) {
			finishWithout(ctx, routed, progress, progress.lastCause);
			return;
		}

		const end = await attempt(ctx, routed, progress, {server, leftMillis});
		ctx.metrics.attempts.inc({end: end.tag});
		const step = chooseNextStep(end, route.repeat);
		if (step === 'repeat') {
			noteUnserved(progress, end);
			if (!mayRepeat(ctx, routed, progress, end)) {
				finishWithout(ctx, routed, progress, progress.lastCause);
				return;
			}

			continue;
		}

		finish(ctx, routed, progress, end);
		return;
	}
	/* eslint-enable no-await-in-loop */
}

function readLastEventId({head}: Call): number | undefined {
	const id = Number(head.lastEventId);
	return head.lastEventId !== undefined && Number.isSafeInteger(id) ? id : undefined;
}

function noteUnserved(progress: Progress, end: AttemptEnd): void {
	if (end.tag === 'answered') {
		progress.failure = end;
		progress.mayHaveRun = true;
	} else if (end.tag === 'lost') {
		progress.mayHaveRun = true;
	} else {
		progress.lastCause = end.tag === 'not_sent' ? 'not_sent' : 'refused_by_backend_server';
	}
}

/** Whether another attempt is within the route's bound and the budget. An attempt that was not sent counts for neither. */
function mayRepeat(ctx: GatewayContext, {call, route, flow}: RoutedCall, progress: Progress, end: AttemptEnd): boolean {
	if (call.gone.aborted) {
		return false;
	}

	if (end.tag === 'not_sent') {
		return progress.asked.size < MAX_UNSENT_ATTEMPTS;
	}

	if (progress.attempts >= route.maxAttempts || !flow.budget.take()) {
		ctx.log.info('not repeated', {
			request: call.head.attemptId, after: end.tag, attempts: progress.attempts, maxAttempts: route.maxAttempts,
		});
		return false;
	}

	ctx.metrics.repeats.inc({reason: end.tag});
	return true;
}

/** Backend servers that a call tries to reach at most. */
const MAX_UNSENT_ATTEMPTS = 4;

type Target = Readonly<{server: BackendServer; leftMillis: number}>;

async function attempt(ctx: GatewayContext, routed: RoutedCall, progress: Progress, {server, leftMillis}: Target): Promise<AttemptEnd> {
	const {call, route, flow, account} = routed;
	const {answer} = progress;
	const startedAtMillis = ctx.clock.monotonicMillis();
	let firstByteMillis: number | undefined;
	progress.asked.add(server.id);
	ctx.picker.noteStart(server.id);
	const end = await runAttempt(ctx, call, {
		address: server.address,
		headers: ctx.codec.forwardHeaders(call.headers, {
			serverId: server.id,
			account,
			deadlineMillis: Math.max(1, Math.floor(leftMillis)),
			lastEventId: answer.lastEventId === undefined ? call.head.lastEventId : String(answer.lastEventId),
			priority: account?.priority ?? route.priority,
		}),
		allowsIdle: route.repeat !== 'at_most_once',
		limitMillis: leftMillis,
		sink: {
			reply: call.reply,
			clock: ctx.clock,
			isStreaming: route.isStreaming,
			progress: answer,
			onEvent(pauseMillis) {
				firstByteMillis ??= ctx.clock.monotonicMillis() - startedAtMillis;
				progress.firstByteMillis ??= ctx.clock.monotonicMillis() - call.arrivedAtMillis;
				progress.longestPauseMillis = Math.max(progress.longestPauseMillis, pauseMillis ?? 0);
				if (pauseMillis !== undefined && route.maxPauseMillis !== undefined) {
					flow.limit.notePause(pauseMillis / route.maxPauseMillis, flow.lane.countInFlight(), ctx.clock.monotonicMillis());
				}
			},
		},
		onHead(head) {
			firstByteMillis ??= ctx.clock.monotonicMillis() - startedAtMillis;
			if (head.load) {
				ctx.picker.noteLoad(server.id, head.load);
			}
		},
	});
	if (firstByteMillis !== undefined) {
		flow.firstByte.note(firstByteMillis, firstByteMillis > route.targetLatencyMillis, ctx.clock.monotonicMillis());
	}

	progress.attempts += end.tag === 'not_sent' ? 0 : 1;
	noteOutcome(ctx, server, end, firstByteMillis);
	if (end.tag !== 'passed' && !(end.tag === 'answered' && end.head.status < 400)) {
		ctx.log.info('attempt failed', {
			request: call.head.attemptId,
			server: server.id,
			end: end.tag,
			detail: 'detail' in end ? end.detail : undefined,
			status: 'head' in end ? end.head.status : undefined,
			faultyServer: 'head' in end ? end.head.faultyServer : undefined,
			lastEventId: answer.lastEventId,
			tookMillis: Math.round(ctx.clock.monotonicMillis() - startedAtMillis),
		});
	}

	return end;
}

function noteOutcome(ctx: GatewayContext, server: BackendServer, end: AttemptEnd, firstByteMillis: number | undefined): void {
	switch (end.tag) {
		case 'passed':
		case 'answered': {
			const isFailure = end.tag === 'answered' && end.head.status >= 500;
			ctx.picker.noteEnd(server.id, isFailure ? 'failed' : 'served', firstByteMillis);
			break;
		}

		case 'not_run': {
			ctx.picker.noteEnd(server.id, 'refused');
			break;
		}

		case 'not_sent':
		case 'lost': {
			ctx.connections.forget(server.address);
			ctx.picker.noteEnd(server.id, 'failed');
			break;
		}

		case 'late': {
			ctx.picker.noteEnd(server.id, firstByteMillis === undefined ? 'failed' : 'served');
			break;
		}

		case 'caller_left': {
			ctx.picker.noteEnd(server.id, 'served');
			break;
		}
	}
}

/** Tells the caller about attempts of which none brought an answer. */
function finishWithout(ctx: GatewayContext, routed: RoutedCall, progress: Progress, cause: NotRunCause): void {
	const {call} = routed;
	if (call.gone.aborted) {
		countCall(ctx, routed, progress, 'caller_left');
		return;
	}

	if (progress.failure && !call.reply.hasHead()) {
		finish(ctx, routed, progress, progress.failure);
		return;
	}

	countCall(ctx, routed, progress, progress.mayHaveRun ? 'unknown' : 'not_run');
	const refusal: Refusal = progress.mayHaveRun
		? {tag: 'unknown', reason: cause === 'deadline' ? 'late' : 'lost'}
		: notRun(cause);
	refuse(ctx, call, refusal, {
		route: routed.route.name, cause, attempts: progress.attempts, asked: [...progress.asked].join(' '),
	});
}

/** Gives the caller what the last attempt brought. */
function finish(ctx: GatewayContext, routed: RoutedCall, progress: Progress, end: AttemptEnd): void {
	const {call} = routed;
	switch (end.tag) {
		case 'answered': {
			countCall(ctx, routed, progress, 'answered');
			call.reply.writeHead(end.head.status, end.head.headers);
			call.reply.write(end.body);
			call.reply.end();
			break;
		}

		case 'passed': {
			countCall(ctx, routed, progress, 'answered');
			call.reply.end();
			break;
		}

		case 'caller_left': {
			countCall(ctx, routed, progress, 'caller_left');
			break;
		}

		case 'late':
		case 'lost':
		case 'not_run':
		case 'not_sent': {
			countCall(ctx, routed, progress, 'unknown');
			refuse(ctx, call, {tag: 'unknown', reason: end.tag === 'late' ? 'late' : 'lost'}, {route: routed.route.name, attempts: progress.attempts});
		}
	}
}

/** Counts a call and logs how it was decided. */
function countCall(ctx: GatewayContext, {call, cfg, route, service, account, waitedMillis, flow}: RoutedCall, {asked, attempts, answer, firstByteMillis, longestPauseMillis}: Progress, outcome: string): void {
	ctx.metrics.calls.inc({kind: route.isStreaming ? 'stream' : route.repeat, outcome});
	ctx.log.debug('call', {
		request: call.head.attemptId,
		deadlineMillis: call.head.deadlineMillis,
		route: route.name,
		service,
		account: account?.name,
		version: cfg.version,
		configurationAgeMillis: Math.round(ctx.configuration.ageMillis()),
		waitedMillis: Math.round(waitedMillis),
		servers: [...asked].join(' '),
		attempts,
		lastEventId: answer.lastEventId,
		firstByteMillis: firstByteMillis === undefined ? undefined : Math.round(firstByteMillis),
		longestPauseMillis: Math.round(longestPauseMillis),
		inFlight: flow.lane.countInFlight(),
		limit: Math.round(flow.limit.read()),
		outcome,
		elapsedMillis: elapsed(ctx, call),
	});
}
