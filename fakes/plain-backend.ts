import {setTimeout as sleep} from 'node:timers/promises';
import {sha256Hex} from '../src/core/digest.js';
import {systemClock} from '../src/core/system-clock.js';
import type {PlainLoad} from '../src/ports/plain-service.js';
import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';
import {createLaggingValue, type LaggingValue} from './state/lagging-value.js';

/** One execution of a call. Two executions with the same key mean that the call ran twice. */
export type Execution = {
	readonly sequence: number;
	readonly idempotencyKey: string;
	readonly attemptId: string;
	readonly bodyDigest: string;
	/** ISO 8601. */
	readonly startedAt: string;
	/** ISO 8601; empty while the call runs. */
	endedAt: string;
};

/** Options of the plain service. */
export type PlainBackendOptions = Readonly<{
	listen: string;
	/** Duration of one call, in milliseconds. */
	workMillis: number;
	/** Age of the load that `GET /v1/load` reports, in milliseconds. */
	loadLagMillis: number;
}>;

type ExecutionLog = {
	readonly executions: Execution[];
	running: number;
	readonly load: LaggingValue<number>;
};

function startExecution(executionLog: ExecutionLog, req: Readonly<{key: string; attemptId: string; bodyDigest: string}>): Execution {
	const execution: Execution = {
		sequence: executionLog.executions.length + 1,
		idempotencyKey: req.key,
		attemptId: req.attemptId,
		bodyDigest: req.bodyDigest,
		startedAt: new Date().toISOString(),
		endedAt: '',
	};
	executionLog.executions.push(execution);
	executionLog.running += 1;
	executionLog.load.set(executionLog.running);
	return execution;
}

function endExecution(executionLog: ExecutionLog, execution: Execution): void {
	execution.endedAt = new Date().toISOString();
	executionLog.running -= 1;
	executionLog.load.set(executionLog.running);
}

function countByKey(executions: readonly Execution[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {idempotencyKey} of executions) {
		counts[idempotencyKey] = (counts[idempotencyKey] ?? 0) + 1;
	}

	return counts;
}

function addRoutes(app: StandInApp, executionLog: ExecutionLog, options: PlainBackendOptions): void {
	app.post('/v1/calls', async ctx => {
		const body = new Uint8Array(await ctx.req.arrayBuffer());
		const execution = startExecution(executionLog, {
			key: ctx.req.header('idempotency-key') ?? '',
			attemptId: ctx.req.header('x-attempt-id') ?? '',
			bodyDigest: sha256Hex(body),
		});
		await sleep(options.workMillis, undefined, {ref: false});
		endExecution(executionLog, execution);
		const {sequence, idempotencyKey, bodyDigest} = execution;
		return ctx.json({execution: sequence, idempotencyKey, bodyDigest});
	});
	app.get('/v1/load', ctx => {
		const load: PlainLoad = {running: executionLog.load.read(), queued: 0, ageMillis: options.loadLagMillis};
		return ctx.json(load);
	});
}

/**
 * Starts a plain service that executes every call it gets, even if one with the same key ran before.
 *
 * Its records are `{executions: Execution[], executionsByKey, running}`; calls without a key count under the empty key.
 */
export async function createPlainBackend(options: PlainBackendOptions): Promise<StandIn> {
	const executionLog: ExecutionLog = {executions: [], running: 0, load: createLaggingValue(systemClock, 0, options.loadLagMillis)};
	return startStandIn({
		listen: options.listen,
		addRoutes(app) {
			addRoutes(app, executionLog, options);
		},
		records: () => ({
			executions: executionLog.executions,
			executionsByKey: countByKey(executionLog.executions),
			running: executionLog.running,
		}),
		reset() {
			executionLog.executions.length = 0;
		},
	});
}
