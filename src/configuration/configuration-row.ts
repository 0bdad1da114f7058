import {fail, succeed, type Result} from '../core/result.js';
import type {Row, TableError, TableStore} from '../ports/table-store.js';
import {configurationSchema, type Configuration} from './configuration.js';

/** Table that holds the configuration in force, and the key of its only row. */
export const CONFIGURATION_TABLE = 'configuration';
export const CONFIGURATION_KEY = 'current';

/** Table with one row for each accepted change, keyed by change id; written in the same transaction as the configuration. */
export const CHANGE_TABLE = 'configuration_changes';

/** The configuration as it is stored; `rowVersion` is 0 and `configuration` undefined before the first change. */
export type StoredConfiguration = Readonly<{rowVersion: number; configuration: Configuration | undefined}>;

/** Why the stored configuration could not be read. */
export type ReadConfigurationError
	= | Readonly<{tag: 'unavailable'; detail: string}>
		/** The row does not fit the schema; `detail` names the field. */
		| Readonly<{tag: 'ill_formed'; detail: string}>;

function parseRow(row: Row | undefined): Result<StoredConfiguration, ReadConfigurationError> {
	if (row === undefined) {
		return succeed({rowVersion: 0, configuration: undefined});
	}

	const parsed = configurationSchema.safeParse(row.value);
	if (parsed.success) {
		return succeed({rowVersion: row.version, configuration: parsed.data});
	}

	const [first] = parsed.error.issues;
	return fail({tag: 'ill_formed', detail: `${first?.path.join('.') ?? ''}: ${first?.message ?? ''}`});
}

/** Error text for operators and logs. */
export function describeTableError(err: TableError): string {
	return err.tag === 'conflict' ? 'conflict' : err.detail;
}

export async function readStoredConfiguration(table: TableStore): Promise<Result<StoredConfiguration, ReadConfigurationError>> {
	const row = await table.read(CONFIGURATION_TABLE, CONFIGURATION_KEY);
	return row.ok ? parseRow(row.value) : fail({tag: 'unavailable', detail: describeTableError(row.error)});
}
