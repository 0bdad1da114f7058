/** Serves one call: routes it, waits for a permit and tries backend servers until there is an answer to deliver. */
import {MAX_WAIT_SHARE} from '../decisions/flow/flow-constants.js';
import type {PermitRequest} from '../decisions/flow/permit-queue.js';
import {admitPrompt} from './admit-prompt.js';
import {finishCall, finishUnanswered, refuseCall} from './finish-call.js';
import {sendToBackendServer} from './send-to-backend-server.js';
import type {AttemptOutcome} from './attempt-outcome.js';
import type {BackendServer} from './backend-server.js';
import type {Call} from './call.js';
import {createCallProgress, recordFailedAttempt, type CallProgress} from './call-progress.js';
import {MIN_ATTEMPT_MILLIS, MAX_TRIED_SERVERS, DEADLINE_MARGIN_MILLIS} from './gateway-constants.js';
import type {GatewayContext} from './gateway-context.js';
import {chooseNextStep} from './next-step.js';
import {createNotRunRefusal} from './refusal.js';
import {isRefusal, routeCall, type RoutedCall} from './routed-call.js';
import {isAvailableForService} from './service-flows.js';

/** Permit request of a call, with the time for which it may wait. */
function createPermitRequest(ctx: GatewayContext, {call, route, account, flow}: RoutedCall): PermitRequest {
	const expectedMillis = flow.firstByteEstimate.read(ctx.clock.monotonicMillis());
	return {
		account: account?.name ?? '',
		priority: account?.priority ?? route.priority,
		onTimeWaitMillis: Math.max(0, route.targetLatencyMillis - expectedMillis),
		maxWaitMillis: Math.min((call.head.deadlineMillis ?? Infinity) / 2, route.targetLatencyMillis * MAX_WAIT_SHARE),
	};
}

/** Serves the call until it has ended. Never rejects. */
export async function serveCall(ctx: GatewayContext, call: Call): Promise<void> {
	const found = routeCall(ctx, call);
	if (isRefusal(found)) {
		refuseCall(ctx, call, found, {
			host: call.host, path: call.path, version: ctx.configuration.read()?.cfg.version, configurationAgeMillis: Math.round(ctx.configuration.ageMillis()),
		});
		return;
	}

	const {route, flow} = found;
	const verdict = ctx.quarantine.judge(call.head.promptParts);
	if (verdict.tag === 'quarantined') {
		const {finding: {parts, crashes}, leftMillis} = verdict;
		refuseCall(ctx, call, createNotRunRefusal('quarantined', leftMillis), {
			route: route.name, parts: parts.join(' '), crashed: crashes.map(({server}) => server).join(' '),
		});
		return;
	}

	flow.retryBudget.noteRequest();
	const backoffMillis = readServiceBackoff(ctx, found.service);
	if (backoffMillis !== undefined) {
		refuseCall(ctx, call, createNotRunRefusal('backing_off', backoffMillis), {route: route.name});
		return;
	}

	const decision = await flow.permitQueue.admit(createPermitRequest(ctx, found), call.disconnectSignal);
	if (decision.tag === 'refused') {
		if (!call.disconnectSignal.aborted) {
			refuseCall(ctx, call, createNotRunRefusal('overload', decision.retryAfterMillis), {
				route: route.name, inFlight: flow.permitQueue.countInFlight(), waiting: flow.permitQueue.countWaiting(), limit: flow.permitQueue.readLimit(),
			});
		}

		return;
	}

	try {
		await tryBackendServers(ctx, {...found, waitedMillis: ctx.clock.monotonicMillis() - call.arrivedAtMillis});
	} finally {
		decision.release();
	}
}

/** Available backend servers that have not been tried for this call yet. */
function listCandidates(ctx: GatewayContext, service: string, triedServers: ReadonlySet<string>): readonly BackendServer[] {
	const nowMillis = ctx.clock.monotonicMillis();
	const available = [...ctx.readServers().values()].filter(server =>
		isAvailableForService(server, service) && !triedServers.has(server.id) && ctx.serverBackoff.readLeftMillis(server.id, nowMillis) === 0);
	return ctx.groupRefusals.excludeRefusing(available, nowMillis);
}

/** Time until the first backend server of the service takes requests again, in milliseconds; undefined unless all available ones have turned them away. */
function readServiceBackoff(ctx: GatewayContext, service: string): number | undefined {
	const nowMillis = ctx.clock.monotonicMillis();
	const leftMillis = [...ctx.readServers().values()]
		.filter(server => isAvailableForService(server, service))
		.map(server => ctx.serverBackoff.readLeftMillis(server.id, nowMillis));
	const firstMillis = Math.min(...leftMillis);
	return leftMillis.length > 0 && firstMillis > 0 ? firstMillis : undefined;
}

async function tryBackendServers(ctx: GatewayContext, routed: RoutedCall): Promise<void> {
	const {call, route} = routed;
	const progress = createCallProgress(call);
	/* eslint-disable no-await-in-loop -- Attempts run one after the other. */
	for (;;) {
		const leftMillis = routed.deadlineMillis - ctx.clock.monotonicMillis() - DEADLINE_MARGIN_MILLIS;
		if (leftMillis < MIN_ATTEMPT_MILLIS) {
			finishUnanswered(ctx, routed, progress, {cause: 'deadline'});
			return;
		}

		const server = ctx.picker.pick(listCandidates(ctx, routed.service, progress.triedServers));
		if (!server) {
			const retryAfterMillis = readServiceBackoff(ctx, routed.service);
			finishUnanswered(ctx, routed, progress, retryAfterMillis === undefined ? {cause: progress.lastNotRunCause} : {cause: 'backing_off', retryAfterMillis});
			return;
		}

		const admission = admitPrompt(ctx, call.head.promptParts);
		if (admission.tag === 'quarantined') {
			finishUnanswered(ctx, routed, progress, {cause: 'quarantined', retryAfterMillis: admission.retryAfterMillis, quarantine: admission});
			return;
		}

		const outcome = await sendToBackendServer(ctx, routed, progress, {server, leftMillis});
		admission.release();
		ctx.metrics.attempts.inc({end: outcome.tag});
		const step = chooseNextStep(outcome, route.retryRule);
		if (step === 'repeat') {
			recordFailedAttempt(progress, outcome);
			if (!mayRetry(ctx, routed, progress, outcome)) {
				finishUnanswered(ctx, routed, progress, {cause: progress.lastNotRunCause});
				return;
			}

			continue;
		}

		finishCall(ctx, routed, progress, outcome);
		return;
	}
	/* eslint-enable no-await-in-loop */
}

/** Whether the route's limit and the retry budget allow another attempt. An attempt that was not sent counts for neither. */
function mayRetry(ctx: GatewayContext, {call, route, flow}: RoutedCall, progress: CallProgress, outcome: AttemptOutcome): boolean {
	if (call.disconnectSignal.aborted) {
		return false;
	}

	if (outcome.tag === 'not_sent') {
		return progress.triedServers.size < MAX_TRIED_SERVERS;
	}

	if (progress.attempts >= route.maxAttempts || !flow.retryBudget.tryTake()) {
		ctx.log.info('not repeated', {
			request: call.head.attemptId, after: outcome.tag, attempts: progress.attempts, maxAttempts: route.maxAttempts,
		});
		return false;
	}

	ctx.metrics.retries.inc({reason: outcome.tag});
	return true;
}

