import {createAdaptorServer} from '@hono/node-server';
import {Hono} from 'hono';
import {listenOn} from '../core/listen.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {Metrics} from './metrics.js';

/** The listener could not take its address. */
export type ListenError = Readonly<{tag: 'listen_failed'; address: string; detail: string}>;

const OK = 200;
const UNAVAILABLE = 503;

/** Serves `/metrics`, `/healthz` and `/readyz` until the process ends. */
export async function startMetricsListener(
	address: string,
	metrics: Metrics,
	lifeCycle: LifeCycle,
	isReady: () => boolean,
): Promise<Result<void, ListenError>> {
	const app = new Hono();
	app.get('/metrics', async ctx => ctx.text(await metrics.registry.metrics(), OK, {'content-type': metrics.registry.contentType}));
	app.get('/healthz', ctx => ctx.json({healthy: true}));
	app.get('/readyz', ctx => ctx.json({ready: isReady()}, isReady() ? OK : UNAVAILABLE));

	const listening = await listenOn(createAdaptorServer({fetch: app.fetch}), address);
	if (!listening.ok) {
		return fail({tag: 'listen_failed', address, detail: listening.error});
	}

	lifeCycle.own('metrics listener', listening.value);
	return succeed(undefined);
}
