import {Hono} from 'hono';
import type {Registry} from 'prom-client';
import {listenHttp} from '../http/http-listener.js';
import type {Clock} from '../core/clock.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {ListenError} from '../core/listen-error.js';
import type {Result} from '../core/result.js';

const OK = 200;
const UNAVAILABLE = 503;

export type MetricsListenerDeps = Readonly<{
	/** `IP:port`. */
	address: string;
	metrics: Readonly<{registry: Registry}>;
	clock: Clock;
	lifeCycle: LifeCycle;
	isReady: () => boolean;
	/** Further JSON documents, by path. */
	documents?: Readonly<Record<string, () => unknown>>;
}>;

/** Serves `/metrics`, `/healthz`, `/readyz` and the documents until the process ends. Resolves to the port. */
export async function startMetricsListener(deps: MetricsListenerDeps): Promise<Result<number, ListenError>> {
	const {address, metrics: {registry}, clock, lifeCycle, isReady, documents = {}} = deps;
	const app = new Hono();
	app.get('/metrics', async ctx => ctx.text(await registry.metrics(), OK, {'content-type': registry.contentType}));
	app.get('/healthz', ctx => ctx.json({healthy: true}));
	app.get('/readyz', ctx => ctx.json({ready: isReady()}, isReady() ? OK : UNAVAILABLE));
	for (const [path, read] of Object.entries(documents)) {
		app.get(path, ctx => ctx.json(read()));
	}

	return listenHttp(app.fetch, {
		name: 'metrics listener', address, clock, lifeCycle,
	});
}
