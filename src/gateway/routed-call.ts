/** Resolves the route, client account and service of a call. */
import {drawService} from '../routing/route-table.js';
import type {Prompt} from '../decisions/flow/prompt-load.js';
import type {RequestContent} from '../decisions/quarantine/crash-record.js';
import type {RoutedAccount, Route, RoutingConfiguration} from '../routing/routing-configuration.js';
import type {Call} from './call.js';
import {mayTakeCall} from './drain-schedule.js';
import {STOPPING_RETRY_AFTER_MILLIS} from './gateway-constants.js';
import type {GatewayContext} from './gateway-context.js';
import {describePrompt} from './describe-prompt.js';
import {createFingerprint} from './request-fingerprint.js';
import {createNotRunRefusal, type Refusal} from './refusal.js';
import type {ServiceFlow} from './service-flows.js';

/** A call with its route, service and account. */
export type RoutedCall = Readonly<{
	call: Call;
	cfg: RoutingConfiguration;
	route: Route;
	service: string;
	account: RoutedAccount | undefined;
	/** What may make it crash backend servers. */
	content: RequestContent;
	/** Monotonic time by which the call must have ended. */
	deadlineMillis: number;
	flow: ServiceFlow;
	/** Undefined where the size of the prompt or the figures of the engines are unknown. */
	prompt: Prompt | undefined;
	/** Time spent waiting for a permit. */
	waitedMillis: number;
}>;

/** Resolves a call, or returns the refusal that says why it cannot be served. */
export function routeCall(ctx: GatewayContext, call: Call): RoutedCall | Refusal {
	const activeConfiguration = ctx.configuration.read();
	if (!activeConfiguration) {
		return createNotRunRefusal('no_configuration');
	}

	const {cfg, routes} = activeConfiguration;
	const route = routes.lookUp(call.host, call.path);
	if (!route) {
		return ctx.configuration.isFresh() ? {tag: 'bad_call', reason: 'unknown_route'} : createNotRunRefusal('stale_configuration');
	}

	const account = call.head.credential === undefined ? undefined : cfg.accounts?.get(call.head.credential);
	if (cfg.accounts && !route.isPublic && !account) {
		return ctx.configuration.isFresh() ? {tag: 'bad_call', reason: 'unknown_credential'} : createNotRunRefusal('stale_configuration');
	}

	if (call.head.attemptId === undefined) {
		return {tag: 'bad_call', reason: 'no_attempt_id'};
	}

	const deadlineMillis = call.arrivedAtMillis + Math.min(route.timeoutMillis, call.head.deadlineMillis ?? Infinity);
	const drain = ctx.readDrainSchedule();
	if (drain && !mayTakeCall(drain, {isStreaming: route.isStreaming, arrivedAtMillis: call.arrivedAtMillis, deadlineMillis})) {
		return createNotRunRefusal('stopping', STOPPING_RETRY_AFTER_MILLIS);
	}

	const service = drawService(route, ctx.random);
	if (service === undefined) {
		return createNotRunRefusal('no_backend_server');
	}

	const caller = route.isPublic ? undefined : account;
	return {
		call,
		cfg,
		route,
		service,
		account: caller,
		content: {parts: call.head.promptParts, fingerprint: createFingerprint(call, caller?.name ?? '')},
		deadlineMillis,
		flow: ctx.flows.read(service),
		prompt: describePrompt(cfg.services.get(service)?.engine, call.head.promptTokens),
		waitedMillis: 0,
	};
}

/** Whether the call was refused instead of routed. */
export function isRefusal(found: RoutedCall | Refusal): found is Refusal {
	return 'tag' in found;
}

