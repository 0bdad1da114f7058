import {match} from 'ts-pattern';
import type {Clock} from '../core/clock.js';
import type {ConfigVersion} from '../core/ids.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {TableStore} from '../ports/table-store.js';
import type {ChangeError} from './change-error.js';
import {configurationSchema, type Configuration} from './configuration.js';
import {
	CHANGE_TABLE, CONFIGURATION_KEY, CONFIGURATION_TABLE, describeTableError, readStoredConfiguration,
} from './configuration-row.js';
import type {ConfigurationUpdate} from './configuration-update.js';
import {
	findWriteResult, readAcceptedChange, resolveLostReply, type PendingChange,
} from './lost-reply.js';

/** One change by an operator. */
export type ChangeRequest = Readonly<{
	/** Unique for each change; reused when an unsettled change is retried. */
	changeId: string;
	changedBy: string;
	/** Version that the change must replace; 0 for none yet, undefined for any. */
	expectedVersion?: ConfigVersion;
	update: ConfigurationUpdate;
}>;

export type ChangeDeps = Readonly<{table: TableStore; clock: Clock}>;

type ChangeResult = Result<Configuration, ChangeError>;

async function createPendingChange(table: TableStore, req: ChangeRequest): Promise<Result<PendingChange, ChangeError>> {
	const stored = await readStoredConfiguration(table);
	if (!stored.ok) {
		return stored;
	}

	const {configuration: current, rowVersion} = stored.value;
	const content = req.update(current);
	if (!content.ok) {
		return fail({tag: 'rejected', reason: content.error});
	}

	const parsed = configurationSchema.safeParse({
		targets: content.value.targets,
		plannedStops: content.value.plannedStops,
		version: (current?.version ?? 0) + 1,
		changeId: req.changeId,
		changedBy: req.changedBy,
	});
	if (parsed.success) {
		const isExpectedVersion = req.expectedVersion === undefined || req.expectedVersion === (current?.version ?? 0);
		return isExpectedVersion
			? succeed({configuration: parsed.data, rowVersion})
			: fail({tag: 'other_version', current});
	}

	const [first] = parsed.error.issues;
	return fail({tag: 'ill_formed', detail: `${first?.path.join('.') ?? ''}: ${first?.message ?? ''}`});
}

/** Handles a failed write condition: another change came first, or an earlier write of this change arrived late. */
async function resolveConflict(table: TableStore, pending: PendingChange): Promise<ChangeResult> {
	const result = await findWriteResult(table, pending);
	return result ?? fail({tag: 'unavailable', detail: 'another change came first and could not be read'});
}

async function writePendingChange(table: TableStore, {configuration, rowVersion}: PendingChange) {
	const {changeId} = configuration;
	return table.transact({
		conditions: [
			{table: CONFIGURATION_TABLE, key: CONFIGURATION_KEY, version: rowVersion},
			{table: CHANGE_TABLE, key: changeId, version: 0},
		],
		writes: [
			{table: CONFIGURATION_TABLE, key: CONFIGURATION_KEY, value: configuration},
			{table: CHANGE_TABLE, key: changeId, value: configuration},
		],
	});
}

/**
 * Changes the configuration, and fails with a conflict when another change is stored at the same time.
 *
 * Sends at most one write. A lost reply is resolved by reading the change id back. The value is the accepted
 * configuration, which a later change may already have replaced.
 */
export async function changeConfiguration({table, clock}: ChangeDeps, req: ChangeRequest): Promise<ChangeResult> {
	const accepted = await readAcceptedChange(table, req.changeId);
	if (!accepted.ok) {
		return accepted;
	}

	if (accepted.value) {
		return succeed(accepted.value);
	}

	const pending = await createPendingChange(table, req);
	if (!pending.ok) {
		return pending;
	}

	const written = await writePendingChange(table, pending.value);
	if (written.ok) {
		return succeed(pending.value.configuration);
	}

	return match(written.error)
		.returnType<Promise<ChangeResult>>()
		.with({tag: 'conflict'}, async () => resolveConflict(table, pending.value))
		.with({tag: 'unavailable'}, async err => fail({tag: 'unavailable', detail: describeTableError(err)}))
		.with({tag: 'reply_lost'}, async () => resolveLostReply({table, clock}, pending.value))
		.exhaustive();
}
