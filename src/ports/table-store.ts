import type {Result} from '../core/result.js';

/** A row of the platform's transactional table service; `value` is JSON, or undefined if the row holds something else. */
export type Row = Readonly<{
	table: string;
	key: string;
	/** Incremented by one with each write of the row; 1 after the first write. */
	version: number;
	value: unknown;
}>;

/** Condition that the row has this version; 0 means that it must not exist. */
export type RowCondition = Readonly<{table: string; key: string; version: number}>;

/** Writes a row, or deletes it when `value` is undefined. */
export type RowWrite = Readonly<{table: string; key: string; value: unknown}>;

/** If all conditions hold, all writes are applied; otherwise none is. */
export type Transaction = Readonly<{
	conditions: readonly RowCondition[];
	writes: readonly RowWrite[];
}>;

/** Failure of a call to the table service. */
export type TableError
	/** A condition did not hold; `rows` are the current rows that the conditions name, without those that do not exist. */
	= | Readonly<{tag: 'conflict'; rows: readonly Row[]}>
		/** The request had no effect: it was not sent, or the service refused it. */
		| Readonly<{tag: 'unavailable'; detail: string}>
		/** No reply arrived; a write may have taken effect, so read it back before doing anything else. */
		| Readonly<{tag: 'reply_lost'; detail: string}>;

/** The platform's table service. Each call has its own timeout and is never retried internally. */
export type TableStore = {
	readonly read: (table: string, key: string) => Promise<Result<Row | undefined, TableError>>;
	/** Rows whose key begins with `prefix`, in key order. */
	readonly list: (table: string, prefix: string) => Promise<Result<readonly Row[], TableError>>;
	/** Returns the written rows, in the order of the writes and without deletions. */
	readonly transact: (tx: Transaction) => Promise<Result<readonly Row[], TableError>>;
};
