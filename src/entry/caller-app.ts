/** HTTP routes for callers: entry addresses, streamed model answers, calls to plain services. */
import {Hono} from 'hono';
import {bodyLimit} from 'hono/body-limit';
import type {InFlightAttempts} from '../attempts/in-flight-attempts.js';
import type {Configuration} from '../configuration/configuration.js';
import {createId, type RequestId} from '../core/ids.js';
import {notRun, type Outcome} from '../core/outcome.js';
import type {Teardown} from '../core/teardown.js';
import type {CallRequest} from '../dispatch/call-request.js';
import type {DispatchContext} from '../dispatch/dispatch-context.js';
import {dispatchModel} from '../dispatch/dispatch-model.js';
import {dispatchPlain} from '../dispatch/dispatch-plain.js';
import {settleRefusal} from '../dispatch/settle-refusal.js';
import {recordOutcome, settleNotRun} from '../dispatch/settled.js';
import type {ServiceTarget} from '../targets/targets.js';
import type {AddressDirectory} from './address-directory.js';
import {createUnansweredResponse} from './unanswered-response.js';
import {authenticate, parseCallerRequest, type Refusal} from './caller-request.js';
import type {EntryPeers} from './entry-peers.js';
import {createTokenResponse} from './token-events.js';

/** Dependencies of the caller routes. */
export type CallerAppDeps = Readonly<{
	dispatch: DispatchContext;
	addressDirectory: AddressDirectory;
	peers: EntryPeers;
	inFlight: InFlightAttempts;
	maxBodyBytes: number;
	/** Whether new requests are refused because this entry is about to shut down. */
	isRefusingRequests: () => boolean;
	/** Whether this entry is draining; responses then carry `Connection: close`. */
	isDraining: () => boolean;
}>;

/** Statuses whose responses have no body. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 205, 304]);
/** Status sent in place of a service's status that is outside the HTTP range. */
const BAD_GATEWAY_STATUS = 502;

export function createCallerApp(deps: CallerAppDeps): Hono {
	const app = new Hono();
	const limit = bodyLimit({
		maxSize: deps.maxBodyBytes,
		onError: () => refuse(deps, createId(), notRun('body_too_large', `body: more than ${deps.maxBodyBytes} bytes`)),
	});

	app.use(async (c, next) => {
		await next();
		if (deps.isDraining()) {
			c.res.headers.set('Connection', 'close');
		}
	});
	app.get('/v1/addresses', c => answerAddresses(deps, c.req.raw.headers));
	app.get('/v1/entry-state', c => c.json(deps.peers.ownState()));
	app.post('/v1/entry-state/:instanceId/check', c => {
		deps.peers.recheckPeer(c.req.param('instanceId'));
		return c.body(null, 202);
	});
	app.post('/v1/models/:service/answers', limit, async c => serve(deps, c.req.raw, c.req.param('service'), 'model'));
	app.post('/v1/services/:service/calls', limit, async c => serve(deps, c.req.raw, c.req.param('service'), 'plain'));
	app.onError((err, c) => {
		deps.dispatch.log.warn('request failed', {path: c.req.path, detail: err.message});
		return c.json({outcome: 'unknown', reason: 'connection_lost', detail: 'the request could not be read or answered'}, 500);
	});
	return app;
}

/** Counts a refusal made before dispatch and creates its response. */
function refuse(deps: CallerAppDeps, requestId: RequestId, refusal: Refusal): Response {
	deps.dispatch.metrics.requests.inc({work_class: '', outcome: 'not_run'});
	deps.dispatch.metrics.refusals.inc({reason: refusal.reason});
	return createUnansweredResponse(refusal, requestId);
}

function refuseWithoutConfiguration(deps: CallerAppDeps): Response {
	return refuse(deps, createId(), notRun('no_configuration', 'no configuration is known yet', 1000));
}

function answerAddresses(deps: CallerAppDeps, headers: Headers): Response {
	const cfg = deps.dispatch.configuration.read();
	if (!cfg) {
		return refuseWithoutConfiguration(deps);
	}

	const account = authenticate(cfg, headers);
	return account.ok ? Response.json(deps.addressDirectory.assignAddresses(account.value, cfg)) : refuse(deps, createId(), account.error);
}

async function serve(deps: CallerAppDeps, raw: Request, service: string, kind: ServiceTarget['kind']): Promise<Response> {
	const cfg = deps.dispatch.configuration.read();
	return cfg ? serveConfigured(deps, cfg, raw, {service, kind}) : refuseWithoutConfiguration(deps);
}

async function serveConfigured(deps: CallerAppDeps, cfg: Configuration, raw: Request, target: Readonly<{service: string; kind: ServiceTarget['kind']}>): Promise<Response> {
	const requestId = createId();
	const body = new Uint8Array(await raw.arrayBuffer());
	const parsed = parseCallerRequest(deps.dispatch.clock, cfg, {
		...target, requestId, headers: raw.headers, body,
	});
	if (!parsed.ok) {
		return refuse(deps, requestId, parsed.error);
	}

	const req = parsed.value;
	if (deps.isRefusingRequests()) {
		return createResponse(await refuseWhileDraining(deps.dispatch, req), requestId);
	}

	deps.addressDirectory.recordRequest(req.account);
	const unregister = deps.inFlight.register(requestId, requestId);
	return target.kind === 'model' ? serveModel(deps, raw, req, unregister) : servePlain(deps, raw, req, unregister);
}

async function refuseWhileDraining(ctx: DispatchContext, req: CallRequest): Promise<Outcome> {
	const refusal = settleNotRun('never_sent', '', notRun('leaving', 'this entry is about to end; ask for addresses again', 0));
	return recordOutcome(ctx, req, await settleRefusal(ctx, req, refusal));
}

async function servePlain(deps: CallerAppDeps, raw: Request, req: CallRequest, unregister: Teardown): Promise<Response> {
	try {
		return createResponse(await dispatchPlain(deps.dispatch, req, raw.signal), req.requestId);
	} finally {
		unregister();
	}
}

async function serveModel(deps: CallerAppDeps, raw: Request, req: CallRequest, unregister: Teardown): Promise<Response> {
	const {clock} = deps.dispatch;
	return createTokenResponse(clock, req, async sink => {
		try {
			return await dispatchModel(deps.dispatch, req, sink, raw.signal);
		} finally {
			unregister();
		}
	});
}

function createResponse(outcome: Outcome, requestId: RequestId): Response {
	if (outcome.tag !== 'answered') {
		return createUnansweredResponse(outcome, requestId);
	}

	const status = outcome.status >= 200 && outcome.status <= 599 ? outcome.status : BAD_GATEWAY_STATUS;
	return new Response(BODILESS_STATUSES.has(status) ? null : new Uint8Array(outcome.body), {
		status,
		headers: {
			'Pollenport-Outcome': 'answered',
			'Pollenport-Repeated': String(outcome.repeated),
			'Pollenport-Request': requestId,
		},
	});
}
