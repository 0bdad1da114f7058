import type {Clock} from '../core/clock.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {TableStore} from '../ports/table-store.js';
import type {ChangeError} from './change-error.js';
import {configurationSchema, type Configuration} from './configuration.js';
import {CHANGE_TABLE, describeTableError, readStoredConfiguration} from './configuration-row.js';

/** Reads that settle a lost reply at most, and the pause before each after the first, in milliseconds. */
const SETTLE_READS = 5;
const SETTLE_PAUSE_MILLIS = 500;

type ReadError = Extract<ChangeError, {tag: 'unavailable' | 'ill_formed'}>;

/** The configuration that the change `changeId` made, or undefined when it is not accepted by now. */
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

/** A new configuration and the version of the row that it replaces. */
export type PendingChange = Readonly<{configuration: Configuration; rowVersion: number}>;

/**
 * What one look at the table says about a write without a reply; undefined when it says nothing.
 *
 * The row is read before the change: a row that moved on without the change rules the write out for good.
 */
export async function inspectWrite(
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
	const hasMovedOn = other !== undefined && stored.value.rowVersion > rowVersion;
	return hasMovedOn ? fail({tag: 'conflict', own, other}) : undefined;
}

/** Settles a write whose reply was lost by reading only; `unsettled` when the table does not tell in time. */
export async function resolveLostReply(
	{table, clock}: Readonly<{table: TableStore; clock: Clock}>,
	draft: PendingChange,
): Promise<Result<Configuration, ChangeError>> {
	for (let reads = 0; reads < SETTLE_READS; reads++) {
		// Each look follows the one before.
		// eslint-disable-next-line no-await-in-loop
		const settled = await inspectWrite(table, draft);
		if (settled) {
			return settled;
		}

		// eslint-disable-next-line no-await-in-loop
		await clock.sleep(SETTLE_PAUSE_MILLIS);
	}

	return fail({tag: 'unsettled', changeId: draft.configuration.changeId, detail: 'the write is neither seen nor ruled out'});
}
