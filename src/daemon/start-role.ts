import {match} from 'ts-pattern';
import {createHttpModelEngine} from '../adapters/http-model-engine.js';
import {createHttpPlainService} from '../adapters/http-plain-service.js';
import {startAgent} from '../agent/start-agent.js';
import {succeed, type Result} from '../core/result.js';
import {startEntry} from '../entry/start-entry.js';
import type {Backend} from '../agent/backend.js';
import type {ListenError} from '../core/listen-error.js';
import type {Secrets} from '../settings/read-secrets.js';
import type {AgentSettings, EntrySettings, Settings} from '../settings/settings.js';
import type {ProcessContext} from './process-context.js';

/** Timeout of calls to the backend server, other than the requests that it serves, in milliseconds. */
const BACKEND_TIMEOUT_MILLIS = 2000;

/** Timeout for an engine to load what an order names, in milliseconds. */
const LOAD_TIMEOUT_MILLIS = 60_000;

export type RunningRole = Readonly<{
	/** Whether the role accepts requests from callers or entries. */
	isReady: () => boolean;
	/** Refuses new requests and waits for those in flight; resolves to the number of requests cut off. */
	drain: () => Promise<number>;
}>;

function createBackend(ctx: ProcessContext, {backend}: AgentSettings): Backend {
	const options = {baseUrl: backend.url, timeoutMillis: BACKEND_TIMEOUT_MILLIS, lifeCycle: ctx.lifeCycle};
	return match(backend.kind)
		.with('engine', kind => ({kind, engine: createHttpModelEngine({...options, loadTimeoutMillis: LOAD_TIMEOUT_MILLIS})}))
		.with('plain', kind => ({kind, plain: createHttpPlainService(options)}))
		.exhaustive();
}

async function startAgentRole(ctx: ProcessContext, settings: AgentSettings): Promise<Result<RunningRole, ListenError>> {
	const agent = await startAgent(ctx, settings, createBackend(ctx, settings));
	if (!agent.ok) {
		return agent;
	}

	return succeed({
		isReady: () => ctx.configuration.version() > 0,
		async drain() {
			const report = await agent.value.drain();
			return report.cutOff;
		},
	});
}

async function startEntryRole(ctx: ProcessContext, settings: EntrySettings, secrets: Secrets): Promise<Result<RunningRole, ListenError>> {
	const entry = await startEntry(ctx, settings, {operatorToken: secrets.operatorToken, tls: secrets.tls});
	if (!entry.ok) {
		return entry;
	}

	return succeed({
		isReady: entry.value.isReady,
		async drain() {
			const report = await entry.value.drain();
			return report.cutOff;
		},
	});
}

/** Starts the role that the settings name. */
export async function startRole(ctx: ProcessContext, settings: Settings, secrets: Secrets): Promise<Result<RunningRole, ListenError>> {
	return match(settings)
		.with({role: 'agent'}, async agentSettings => startAgentRole(ctx, agentSettings))
		.with({role: 'entry'}, async entrySettings => startEntryRole(ctx, entrySettings, secrets))
		.exhaustive();
}
