import type {Result} from '../core/result.js';

/** State of a row after a change; `text` is undefined once the row is removed. */
export type FeedRow = Readonly<{key: string; text: string | undefined; version: number}>;

/** Rows, and the version of the store that they show. */
export type FeedPage = Readonly<{
	rows: readonly FeedRow[];
	version: number;
	/** Steady clock of the store, in milliseconds. */
	storeMillis: number;
}>;

/** A read that gave nothing. */
export type FeedError
	= | Readonly<{tag: 'unavailable'; detail: string}>
	/** The store has dropped the changes behind the wanted version; read all rows again. */
		| Readonly<{tag: 'history_lost'}>;

/** Reads and follows the rows of a table of the platform. Each call has a timeout and is never repeated inside. */
export type TableFeed = {
	readonly readAll: (table: string) => Promise<Result<FeedPage, FeedError>>;
	/** Changes after a version, oldest first; waits up to `waitMillis` for the first one, and no longer than until `signal` aborts. */
	readonly readChanges: (table: string, afterVersion: number, waitMillis: number, signal?: AbortSignal) => Promise<Result<FeedPage, FeedError>>;
};
