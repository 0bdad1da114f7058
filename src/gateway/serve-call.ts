/** Serves one call: routes it, waits for admission and tries backend servers until there is an answer to deliver. */
import {MAX_WAIT_SHARE} from '../decisions/flow/flow-constants.js';
import type {FlowRequest} from '../decisions/flow/flow-lane.js';
import {finish, finishWithout, refuse} from './answer-caller.js';
import {askBackendServer} from './ask-backend-server.js';
import type {AttemptEnd} from './attempt-end.js';
import type {BackendServer} from './backend-server.js';
import type {Call} from './call.js';
import {createCallProgress, noteUnserved, type CallProgress} from './call-progress.js';
import {LEAST_ATTEMPT_MILLIS, MAX_UNSENT_ATTEMPTS, RETURN_MARGIN_MILLIS} from './gateway-constants.js';
import type {GatewayContext} from './gateway-context.js';
import {chooseNextStep} from './next-step.js';
import {notRun} from './refusal.js';
import {isRefusal, routeCall, type RoutedCall} from './routed-call.js';
import {isAvailable} from './service-flows.js';

/** Admission request of a call, with the time for which it may wait. */
function createFlowRequest(ctx: GatewayContext, {call, route, account, flow}: RoutedCall): FlowRequest {
	const expectedMillis = flow.firstByte.read(ctx.clock.monotonicMillis());
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
		refuse(ctx, call, found, {
			host: call.host, path: call.path, version: ctx.configuration.read()?.cfg.version, configurationAgeMillis: Math.round(ctx.configuration.ageMillis()),
		});
		return;
	}

	const {route, flow} = found;
	flow.budget.noteRequest();
	const admission = await flow.lane.admit(createFlowRequest(ctx, found), call.gone);
	if (admission.tag === 'refused') {
		if (!call.gone.aborted) {
			refuse(ctx, call, notRun('overload', admission.retryAfterMillis), {
				route: route.name, inFlight: flow.lane.countInFlight(), waiting: flow.lane.countWaiting(), limit: flow.lane.readLimit(),
			});
		}

		return;
	}

	try {
		await tryBackendServers(ctx, {...found, waitedMillis: ctx.clock.monotonicMillis() - call.arrivedAtMillis});
	} finally {
		admission.release();
	}
}

/** Available backend servers that have not been tried for this call yet. */
function listCandidates(ctx: GatewayContext, service: string, asked: ReadonlySet<string>): readonly BackendServer[] {
	const available = [...ctx.readServers().values()].filter(server => isAvailable(server, service) && !asked.has(server.id));
	return ctx.groupRefusals.drop(available, ctx.clock.monotonicMillis());
}

async function tryBackendServers(ctx: GatewayContext, routed: RoutedCall): Promise<void> {
	const {call, route} = routed;
	const progress = createCallProgress(call);
	/* eslint-disable no-await-in-loop -- Attempts run one after the other. */
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

		const end = await askBackendServer(ctx, routed, progress, {server, leftMillis});
		ctx.metrics.attempts.inc({end: end.tag});
		const step = chooseNextStep(end, route.repeat);
		if (step === 'repeat') {
			noteUnserved(progress, end);
			if (!mayRetry(ctx, routed, progress, end)) {
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

/** Whether the route's limit and the retry budget allow another attempt. An attempt that was not sent counts for neither. */
function mayRetry(ctx: GatewayContext, {call, route, flow}: RoutedCall, progress: CallProgress, end: AttemptEnd): boolean {
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

