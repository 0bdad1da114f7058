import {fail, succeed, type Result} from '../../src/core/result.js';
import type {
	Row, RowCondition, RowWrite, Transaction,
} from '../../src/ports/table-store.js';

/** A condition of a transaction was not met. */
export type Conflict = Readonly<{tag: 'conflict'; rows: readonly Row[]}>;

/** Rows of the table service. */
export type TableState = {
	readonly read: (table: string, key: string) => Row | undefined;
	readonly list: (table: string, prefix: string) => readonly Row[];
	readonly transact: (tx: Transaction) => Result<readonly Row[], Conflict>;
	/** Every row written, in write order; `value` is undefined for a deletion. */
	readonly history: () => readonly Row[];
	readonly clear: () => void;
};

const SEPARATOR = '\u0000';

function compareKeys(left: Row, right: Row): number {
	if (left.key === right.key) {
		return 0;
	}

	return left.key < right.key ? -1 : 1;
}

/** Creates an empty table service. */
export function createTableState(): TableState {
	const rows = new Map<string, Row>();
	let history: Row[] = [];

	const rowId = (table: string, key: string) => `${table}${SEPARATOR}${key}`;
	const read = (table: string, key: string) => rows.get(rowId(table, key));
	const isConditionMet = (condition: RowCondition) => (read(condition.table, condition.key)?.version ?? 0) === condition.version;

	function write({table, key, value}: RowWrite): readonly Row[] {
		const version = (read(table, key)?.version ?? 0) + 1;
		const row = {
			table, key, version, value: structuredClone(value),
		};
		history.push(row);
		if (value === undefined) {
			rows.delete(rowId(table, key));
			return [];
		}

		rows.set(rowId(table, key), row);
		return [row];
	}

	return {
		read,
		list: (table, prefix) => [...rows.values()]
			.filter(row => row.table === table && row.key.startsWith(prefix))
			.toSorted(compareKeys),
		transact(tx) {
			if (!tx.conditions.every(condition => isConditionMet(condition))) {
				return fail({
					tag: 'conflict',
					rows: tx.conditions.flatMap(({table, key}) => read(table, key) ?? []),
				});
			}

			return succeed(tx.writes.flatMap(item => write(item)));
		},
		history: () => history,
		clear() {
			rows.clear();
			history = [];
		},
	};
}
