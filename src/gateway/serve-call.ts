/** Serves one call: finds its route, waits for a place, and asks backend servers until there is an answer to give. */
import {MAX_WAIT_SHARE} from '../decisions/flow/flow-constants.js';
import type {PermitRequest} from '../decisions/flow/permit-queue.js';
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

/** How long the call may wait for a place. */
function describeWait(ctx: GatewayContext, {call, route, account, flow}: RoutedCall): PermitRequest {
	const expectedMillis = flow.firstByteEstimate.read(ctx.clock.monotonicMillis());
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
		refuseCall(ctx, call, found, {
			host: call.host, path: call.path, version: ctx.configuration.read()?.cfg.version, configurationAgeMillis: Math.round(ctx.configuration.ageMillis()),
		});
		return;
	}

	const {route, flow} = found;
	flow.retryBudget.noteRequest();
	const placed = await flow.permitQueue.admit(describeWait(ctx, found), call.disconnectSignal);
	if (placed.tag === 'refused') {
		if (!call.disconnectSignal.aborted) {
			refuseCall(ctx, call, createNotRunRefusal('overload', placed.retryAfterMillis), {
				route: route.name, inFlight: flow.permitQueue.countInFlight(), waiting: flow.permitQueue.countWaiting(), limit: flow.permitQueue.readLimit(),
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

/** Backend servers that may get the call, without those that were asked already. */
function listCandidates(ctx: GatewayContext, service: string, asked: ReadonlySet<string>): readonly BackendServer[] {
	const available = [...ctx.readServers().values()].filter(server => isAvailableForService(server, service) && !asked.has(server.id));
	return ctx.groupRefusals.excludeRefusing(available, ctx.clock.monotonicMillis());
}

async function askBackendServers(ctx: GatewayContext, routed: RoutedCall): Promise<void> {
	const {call, route} = routed;
	const progress = createCallProgress(call);
	/* eslint-disable no-await-in-loop -- One attempt after the other. */
	for (;;) {
		const leftMillis = routed.deadlineMillis - ctx.clock.monotonicMillis() - DEADLINE_MARGIN_MILLIS;
		if (leftMillis < MIN_ATTEMPT_MILLIS) {
			finishUnanswered(ctx, routed, progress, 'deadline');
			return;
		}

		const server = ctx.picker.pick(listCandidates(ctx, routed.service, progress.triedServers));
		if (!server) {
			finishUnanswered(ctx, routed, progress, progress.lastNotRunCause);
			return;
		}

		const end = await sendToBackendServer(ctx, routed, progress, {server, leftMillis});
		ctx.metrics.attempts.inc({end: end.tag});
		const step = chooseNextStep(end, route.retryRule);
		if (step === 'repeat') {
			recordFailedAttempt(progress, end);
			if (!mayRepeat(ctx, routed, progress, end)) {
				finishUnanswered(ctx, routed, progress, progress.lastNotRunCause);
				return;
			}

			continue;
		}

		finishCall(ctx, routed, progress, end);
		return;
	}
	/* eslint-enable no-await-in-loop */
}

/** Whether another attempt is within the route's bound and the budget. An attempt that was not sent counts for neither. */
function mayRepeat(ctx: GatewayContext, {call, route, flow}: RoutedCall, progress: CallProgress, end: AttemptOutcome): boolean {
	if (call.disconnectSignal.aborted) {
		return false;
	}

	if (end.tag === 'not_sent') {
		return progress.triedServers.size < MAX_TRIED_SERVERS;
	}

	if (progress.attempts >= route.maxAttempts || !flow.retryBudget.tryTake()) {
		ctx.log.info('not repeated', {
			request: call.head.attemptId, after: end.tag, attempts: progress.attempts, maxAttempts: route.maxAttempts,
		});
		return false;
	}

	ctx.metrics.retries.inc({reason: end.tag});
	return true;
}

