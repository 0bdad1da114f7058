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
	inspectWrite, readAcceptedChange, resolveLostReply, type PendingChange,
} from './settle-change.js';

/** One change by an operator. */
export type ChangeRequest = Readonly<{
	/** Fresh for each change; the same when an unsettled change is asked about again. */
	changeId: string;
	changedBy: string;
	/** Version that the change replaces, 0 for none; any when undefined. */
	expectedVersion?: ConfigVersion;
	update: ConfigurationUpdate;
}>;

/** What a change needs. */
export type ChangeDeps = Readonly<{table: TableStore; clock: Clock}>;

type ChangeResult = Result<Configuration, ChangeError>;

async function draftChange(table: TableStore, req: ChangeRequest): Promise<Result<PendingChange, ChangeError>> {
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
		const isExpected = req.expectedVersion === undefined || req.expectedVersion === (current?.version ?? 0);
		return isExpected
			? succeed({configuration: parsed.data, rowVersion})
			: fail({tag: 'other_version', current});
	}

	const [first] = parsed.error.issues;
	return fail({tag: 'ill_formed', detail: `${first?.path.join('.') ?? ''}: ${first?.message ?? ''}`});
}

/** A condition failed: another change came first, or an earlier write of this change arrived late. */
async function explainConflict(table: TableStore, draft: PendingChange): Promise<ChangeResult> {
	const explained = await inspectWrite(table, draft);
	return explained ?? fail({tag: 'unavailable', detail: 'another change came first and could not be read'});
}

async function writeDraft(table: TableStore, {configuration, rowVersion}: PendingChange) {
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
 * Changes the configuration if nobody else changes it at the same time.
 *
 * Writes at most once. A lost reply is settled by reading the change id back. The value is the accepted configuration,
 * which a later change may have replaced by now.
 */
export async function changeConfiguration({table, clock}: ChangeDeps, req: ChangeRequest): Promise<ChangeResult> {
	const accepted = await readAcceptedChange(table, req.changeId);
	if (!accepted.ok) {
		return accepted;
	}

	if (accepted.value) {
		return succeed(accepted.value);
	}

	const draft = await draftChange(table, req);
	if (!draft.ok) {
		return draft;
	}

	const written = await writeDraft(table, draft.value);
	if (written.ok) {
		return succeed(draft.value.configuration);
	}

	return match(written.error)
		.returnType<Promise<ChangeResult>>()
		.with({tag: 'conflict'}, async () => explainConflict(table, draft.value))
		.with({tag: 'unavailable'}, async err => fail({tag: 'unavailable', detail: describeTableError(err)}))
		.with({tag: 'reply_lost'}, async () => resolveLostReply({table, clock}, draft.value))
		.exhaustive();
}
