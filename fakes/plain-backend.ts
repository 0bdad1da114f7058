import {setTimeout as sleep} from 'node:timers/promises';
import {sha256Hex} from '../src/core/digest.js';
import {systemClock} from '../src/core/system-clock.js';
import type {PlainLoad} from '../src/ports/plain-service.js';
import {startStandIn, type StandIn, type StandInApp} from './http/stand-in.js';
import {createLaggingValue, type LaggingValue} from './state/lagging-value.js';

/** One run of a call. A key with two of these ran twice. */
export type Execution = {
	readonly sequence: number;
	readonly idempotencyKey: string;
	readonly attemptId: string;
	readonly bodyDigest: string;
	/** ISO 8601. */
	readonly startedAt: string;
	/** ISO 8601; empty while it runs. */
	endedAt: string;
};

/** How the service behaves. */
export type PlainBackendOptions = Readonly<{
	listen: string;
	/** Time that one call works, in milliseconds. */
	workMillis: number;
	/** Age of the load that `GET /v1/load` reports, in milliseconds. */
	loadLagMillis: number;
}>;

type Ledger = {
	readonly executions: Execution[];
	running: number;
	readonly load: LaggingValue<number>;
};

function startExecution(ledger: Ledger, req: Readonly<{key: string; attemptId: string; bodyDigest: string}>): Execution {
	const execution: Execution = {
		sequence: ledger.executions.length + 1,
		idempotencyKey: req.key,
		attemptId: req.attemptId,
		bodyDigest: req.bodyDigest,
		startedAt: new Date().toISOString(),
		endedAt: '',
	};
	ledger.executions.push(execution);
	ledger.running += 1;
	ledger.load.set(ledger.running);
	return execution;
}

function endExecution(ledger: Ledger, execution: Execution): void {
	execution.endedAt = new Date().toISOString();
	ledger.running -= 1;
	ledger.load.set(ledger.running);
}

function countByKey(executions: readonly Execution[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const {idempotencyKey} of executions) {
		counts[idempotencyKey] = (counts[idempotencyKey] ?? 0) + 1;
	}

	return counts;
}

function addRoutes(app: StandInApp, ledger: Ledger, options: PlainBackendOptions): void {
	app.post('/v1/calls', async ctx => {
		const body = new Uint8Array(await ctx.req.arrayBuffer());
		const execution = startExecution(ledger, {
			key: ctx.req.header('idempotency-key') ?? '',
			attemptId: ctx.req.header('x-attempt-id') ?? '',
			bodyDigest: sha256Hex(body),
		});
		await sleep(options.workMillis, undefined, {ref: false});
		endExecution(ledger, execution);
		const {sequence, idempotencyKey, bodyDigest} = execution;
		return ctx.json({execution: sequence, idempotencyKey, bodyDigest});
	});
	app.get('/v1/load', ctx => {
		const load: PlainLoad = {running: ledger.load.read(), queued: 0, ageMillis: options.loadLagMillis};
		return ctx.json(load);
	});
}

/**
 * Starts a plain service that runs every call it gets, also one of a key that ran before.
 *
 * Its records are `{executions: Execution[], executionsByKey, running}`; the key of calls without one is empty.
 */
export async function createPlainBackend(options: PlainBackendOptions): Promise<StandIn> {
	const ledger: Ledger = {executions: [], running: 0, load: createLaggingValue(systemClock, 0, options.loadLagMillis)};
	return startStandIn({
		listen: options.listen,
		addRoutes(app) {
			addRoutes(app, ledger, options);
		},
		records: () => ({
			executions: ledger.executions,
			executionsByKey: countByKey(ledger.executions),
			running: ledger.running,
		}),
		reset() {
			ledger.executions.length = 0;
		},
	});
}
