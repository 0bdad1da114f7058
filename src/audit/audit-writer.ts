import type {Clock} from '../core/clock.js';
import type {LifeCycle} from '../core/life-cycle.js';
import type {Log} from '../observability/log.js';
import type {Metrics} from '../observability/metrics.js';
import type {ObjectStore} from '../ports/object-store.js';
import {batchKey, encodeBatch} from './audit-batch.js';
import type {AuditRecord} from './audit-record.js';
import type {AuditLog} from './audit-recorder.js';

/** Largest number of records in one object. */
const BATCH_RECORDS = 5000;
/** Failed writes after which a shutdown gives up on the remaining records. */
const MAX_SHUTDOWN_WRITE_FAILURES = 3;

export type AuditWriterDeps = Readonly<{
	clock: Clock;
	log: Log;
	metrics: Metrics;
	lifeCycle: LifeCycle;
	objects: ObjectStore;
	auditLog: AuditLog;
	intervalMillis: number;
}>;

/**
 * Writes one batch. After a failure the same batch is written again unchanged under the same key, so that a write whose
 * reply was lost is reported as existing and counts as done.
 */
async function writeBatch(deps: AuditWriterDeps, batch: readonly AuditRecord[]): Promise<boolean> {
	const [first] = batch;
	const last = batch.at(-1);
	if (!first || !last) {
		return true;
	}

	const created = await deps.objects.create(batchKey(first), encodeBatch(batch));
	if (created.ok || created.error.tag === 'exists') {
		deps.auditLog.removeThrough(last.sequence);
		return true;
	}

	deps.log.warn('audit records could not be written', {reason: created.error.tag, detail: created.error.detail});
	return false;
}

/** Starts the task that writes pending records at the interval and once more at shutdown. */
export function startAuditWriter(deps: AuditWriterDeps): void {
	let unconfirmedBatch: readonly AuditRecord[] = [];

	async function writeNextBatch(): Promise<boolean> {
		unconfirmedBatch = unconfirmedBatch.length > 0 ? unconfirmedBatch : deps.auditLog.readPending().slice(0, BATCH_RECORDS);
		const isStored = await writeBatch(deps, unconfirmedBatch);
		unconfirmedBatch = isStored ? [] : unconfirmedBatch;
		deps.metrics.auditPending.set(deps.auditLog.readPending().length);
		return isStored;
	}

	async function writeAll(maxFailures: number): Promise<void> {
		let failuresLeft = maxFailures;
		while (deps.auditLog.readPending().length > 0 && failuresLeft > 0) {
			// Batches of one chain are written in order, so one at a time.
			// eslint-disable-next-line no-await-in-loop
			failuresLeft -= await writeNextBatch() ? 0 : 1;
		}
	}

	async function run(): Promise<void> {
		while (!deps.lifeCycle.signal.aborted) {
			// eslint-disable-next-line no-await-in-loop
			await deps.clock.sleep(deps.intervalMillis, deps.lifeCycle.signal);
			// eslint-disable-next-line no-await-in-loop
			await writeAll(1);
		}
	}

	const running = run();
	deps.lifeCycle.own('audit writer', async () => {
		await running;
		await writeAll(MAX_SHUTDOWN_WRITE_FAILURES);
	});
}
