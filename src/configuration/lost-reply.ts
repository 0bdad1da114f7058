import type {Clock} from '../core/clock.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {TableStore} from '../ports/table-store.js';
import type {ChangeError} from './change-error.js';
import {configurationSchema, type Configuration} from './configuration.js';
import {CHANGE_TABLE, describeTableError, readStoredConfiguration} from './configuration-row.js';

/** Largest number of reads to resolve a lost reply, and the delay between them. */
const MAX_LOST_REPLY_READS = 5;
const LOST_REPLY_READ_INTERVAL_MILLIS = 500;

type ReadError = Extract<ChangeError, {tag: 'unavailable' | 'ill_formed'}>;

/** The configuration produced by the change `changeId`, or undefined when that change has not been accepted so far. */
export async function readAcceptedChange(
	table: TableStore,
	changeId: string,
): Promise<Result<Configuration | undefined, ReadError>> {
	const row = await table.read(CHANGE_TABLE, changeId);
	if (!row.ok) {
		return fail({tag: 'unavailable', detail: describeTableError(row.error)});
	}

	if (row.value === undefined) {
		return succeed(undefined);
	}

	const parsed = configurationSchema.safeParse(row.value.value);
	return parsed.success ? succeed(parsed.data) : fail({tag: 'ill_formed', detail: parsed.error.message});
}

/** A new configuration that is to replace the row at version `rowVersion`. */
export type PendingChange = Readonly<{configuration: Configuration; rowVersion: number}>;

/**
 * Reads the table once to find out whether a write without a reply was applied; undefined when that is not known yet.
 *
 * The configuration row is read before the change row. If the configuration row is newer and the change row is still
 * missing, the write can no longer take effect, because it is conditional on the version of the replaced row.
 */
export async function findWriteResult(
	table: TableStore,
	{configuration: own, rowVersion}: PendingChange,
): Promise<Result<Configuration, ChangeError> | undefined> {
	const stored = await readStoredConfiguration(table);
	const accepted = await readAcceptedChange(table, own.changeId);
	if (accepted.ok && accepted.value) {
		return succeed(accepted.value);
	}

	if (!accepted.ok || !stored.ok) {
		return undefined;
	}

	const {configuration: other} = stored.value;
	const isRowOverwritten = other !== undefined && stored.value.rowVersion > rowVersion;
	return isRowOverwritten ? fail({tag: 'conflict', own, other}) : undefined;
}

/** Resolves a write whose reply was lost, by reading only; `unsettled` when the reads do not show the result in time. */
export async function resolveLostReply(
	{table, clock}: Readonly<{table: TableStore; clock: Clock}>,
	pending: PendingChange,
): Promise<Result<Configuration, ChangeError>> {
	for (let readCount = 0; readCount < MAX_LOST_REPLY_READS; readCount++) {
		// The reads run one after the other.
		// eslint-disable-next-line no-await-in-loop
		const result = await findWriteResult(table, pending);
		if (result) {
			return result;
		}

		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(LOST_REPLY_READ_INTERVAL_MILLIS);
	}

	return fail({tag: 'unsettled', changeId: pending.configuration.changeId, detail: 'the write is neither seen nor ruled out'});
}
