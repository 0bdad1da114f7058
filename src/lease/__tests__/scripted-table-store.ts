import {fail, succeed, type Result} from '../../core/result.js';
import type {
	Row, TableError, TableStore, Transaction,
} from '../../ports/table-store.js';

/** Fault of the next call; with `lost_after` the call takes effect before its reply is lost, with `lost_before` it does not. */
export type Fault = 'none' | 'unavailable' | 'lost_after' | 'lost_before';

/** An in-memory table store whose next calls fail as scripted. */
export type ScriptedTableStore = TableStore & {
	readonly script: (...faults: readonly Fault[]) => void;
};

export function createScriptedTableStore(): ScriptedTableStore {
	const rows = new Map<string, Row>();
	let faults: readonly Fault[] = [];

	function nextFault(): Fault {
		const [fault = 'none', ...rest] = faults;
		faults = rest;
		return fault;
	}

	function apply(tx: Transaction): Result<readonly Row[], TableError> {
		const isMet = tx.conditions.every(({table, key, version}) => (rows.get(`${table}/${key}`)?.version ?? 0) === version);
		if (!isMet) {
			return fail({tag: 'conflict', rows: []});
		}

		const written = tx.writes.map(({table, key, value}): Row => (
			{
				table, key, version: (rows.get(`${table}/${key}`)?.version ?? 0) + 1, value,
			}
		));
		for (const row of written) {
			rows.set(`${row.table}/${row.key}`, row);
		}

		return succeed(written);
	}

	return {
		script(...next) {
			faults = next;
		},
		async read(table, key) {
			return nextFault() === 'none' ? succeed(rows.get(`${table}/${key}`)) : fail({tag: 'unavailable', detail: 'down'});
		},
		list: async () => succeed([...rows.values()]),
		async transact(tx) {
			const fault = nextFault();
			if (fault === 'unavailable') {
				return fail({tag: 'unavailable', detail: 'down'});
			}

			if (fault === 'lost_before') {
				return fail({tag: 'reply_lost', detail: 'timeout'});
			}

			const result = apply(tx);
			return fault === 'lost_after' ? fail({tag: 'reply_lost', detail: 'timeout'}) : result;
		},
	};
}
