/** Load that the backend server reports. */
import type {ProcessContext} from '../daemon/process-context.js';
import type {ModelEngine} from '../ports/model-engine.js';
import type {PlainService} from '../ports/plain-service.js';
import {LOAD_POLL_INTERVAL_MILLIS} from './agent-constants.js';
import type {Backend} from './backend.js';
import {createCacheEventLog, type CacheEventLog} from './cache-event-log.js';

/** Latest load report of the backend server. */
export type BackendLoad = Readonly<{
	running: number;
	queued: number;
	/** Age of the report when it was read, in milliseconds. */
	ageMillis: number;
	/** Monotonic time at which it was read, in milliseconds. */
	readAtMillis: number;
	stepMillis: number;
	tokensPerSecond: number;
}>;

/** Latest load and cache events of the backend server. */
export type BackendLoadWatch = Readonly<{
	/** Undefined until the first report has been read. */
	read: () => BackendLoad | undefined;
	cacheEvents: CacheEventLog;
}>;

/** Polls the load until the process shuts down. */
export function watchBackendLoad(ctx: ProcessContext, backend: Backend): BackendLoadWatch {
	const cacheEvents = createCacheEventLog();
	let load: BackendLoad | undefined;

	async function poll(): Promise<void> {
		const {signal} = ctx.lifeCycle;
		while (!signal.aborted) {
			// Polls run one after the other.
			// eslint-disable-next-line no-await-in-loop
			load = await readLoad(ctx, backend) ?? load;
			// eslint-disable-next-line no-await-in-loop
			await readCacheEvents(backend, cacheEvents);
			// eslint-disable-next-line no-await-in-loop
			await ctx.clock.sleep(LOAD_POLL_INTERVAL_MILLIS, signal);
		}
	}

	void poll();
	return {read: () => load, cacheEvents};
}

async function readLoad(ctx: ProcessContext, backend: Backend): Promise<BackendLoad | undefined> {
	return backend.kind === 'engine' ? readEngineLoad(ctx, backend.engine) : readPlainLoad(ctx, backend.plain);
}

async function readEngineLoad(ctx: ProcessContext, engine: ModelEngine): Promise<BackendLoad | undefined> {
	const state = await engine.readState();
	if (!state.ok) {
		return undefined;
	}

	const {running, queued, ageMillis, stepMillis, tokensPerSecond} = state.value;
	return {
		running, queued, ageMillis, stepMillis, tokensPerSecond, readAtMillis: ctx.clock.monotonicMillis(),
	};
}

async function readPlainLoad(ctx: ProcessContext, plain: PlainService): Promise<BackendLoad | undefined> {
	const load = await plain.readLoad();
	return load.ok
		? {
			...load.value, stepMillis: 0, tokensPerSecond: 0, readAtMillis: ctx.clock.monotonicMillis(),
		}
		: undefined;
}

async function readCacheEvents(backend: Backend, log: CacheEventLog): Promise<void> {
	if (backend.kind === 'plain') {
		return;
	}

	const events = await backend.engine.readCacheEvents(log.lastSequence());
	if (events.ok) {
		log.append(events.value);
	}
}
