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
/** Times a shutdown tries to write what is left. */
const FINAL_TRIES = 3;

/** What the writer needs. */
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
 * Writes one batch. A batch that was tried before is sent again unchanged under the same key,
 * so that a write whose reply was lost is found to exist and counts as done.
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

/** Starts the task that writes pending records at the interval, and once more at shutdown. */
export function startAuditWriter(deps: AuditWriterDeps): void {
	let unsettled: readonly AuditRecord[] = [];

	async function writeNext(): Promise<boolean> {
		unsettled = unsettled.length > 0 ? unsettled : deps.auditLog.readPending().slice(0, BATCH_RECORDS);
		const isStored = await writeBatch(deps, unsettled);
		unsettled = isStored ? [] : unsettled;
		deps.metrics.auditPending.set(deps.auditLog.readPending().length);
		return isStored;
	}

	async function writeAll(tries: number): Promise<void> {
		let left = tries;
		while (deps.auditLog.readPending().length > 0 && left > 0) {
			// Batches of one chain are written in order.
			// eslint-disable-next-line no-await-in-loop
			left -= await writeNext() ? 0 : 1;
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
		await writeAll(FINAL_TRIES);
	});
}
