import type {Result} from '../core/result.js';

/** A row of the platform's transactional table service; `value` is JSON. */
export type Row = Readonly<{
	table: string;
	key: string;
	/** Grows by one with each write of the row; the first write makes it 1. */
	version: number;
	value: unknown;
}>;

/** Holds when the row has this version; 0 means that it must not exist. */
export type RowCondition = Readonly<{table: string; key: string; version: number}>;

/** Writes a row, or deletes it when `value` is undefined. */
export type RowWrite = Readonly<{table: string; key: string; value: unknown}>;

/** All conditions hold and all writes are made, or nothing is written. */
export type Transaction = Readonly<{
	conditions: readonly RowCondition[];
	writes: readonly RowWrite[];
}>;

/** A failure of the table service. */
export type TableError
	/** A condition did not hold; `rows` are the present rows of the conditions (absent ones left out). */
	= | Readonly<{tag: 'conflict'; rows: readonly Row[]}>
	/** The request had no effect: it was not sent, or the service refused it. */
		| Readonly<{tag: 'unavailable'; detail: string}>
	/** A write may have taken effect; read back before anything else. */
		| Readonly<{tag: 'reply_lost'; detail: string}>;

/** The platform's table service. Every call has its own timeout and is never repeated inside. */
export type TableStore = {
	readonly read: (table: string, key: string) => Promise<Result<Row | undefined, TableError>>;
	/** Rows whose key begins with `prefix`, in key order. */
	readonly list: (table: string, prefix: string) => Promise<Result<readonly Row[], TableError>>;
	/** The written rows, in the order of the writes; deletions are left out. */
	readonly transact: (tx: Transaction) => Promise<Result<readonly Row[], TableError>>;
};
