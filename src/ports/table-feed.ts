import type {Result} from '../core/result.js';

/** State of a row after a change; `text` is undefined once the row is removed. */
export type FeedRow = Readonly<{key: string; text: string | undefined; version: number}>;

/** Rows, and the store version that they reflect. */
export type FeedPage = Readonly<{
	rows: readonly FeedRow[];
	version: number;
	/** Monotonic clock of the store, in milliseconds. */
	storeMillis: number;
}>;

/** Failure of a read. */
export type FeedError
	= | Readonly<{
		tag: 'unavailable';
		detail: string;
		/** Whether no answer came in time. */
		isTimeout?: true;
	}>
		/** The store no longer has the changes that follow the requested version; all rows must be read again. */
	| Readonly<{
		tag: 'history_lost';
		/** Whether the store has returned from an older copy, so that acknowledged changes are gone. */
		isRestored: boolean;
	}>;

/** Reads and follows the rows of a table of the platform. Each call has a timeout and is never retried internally. */
export type TableFeed = {
	readonly readAll: (table: string) => Promise<Result<FeedPage, FeedError>>;
	/** Changes after a version, oldest first; waits up to `waitMillis` for the first one, or until `signal` aborts, after which new connections are used. */
	readonly readChanges: (table: string, afterVersion: number, waitMillis: number, signal?: AbortSignal) => Promise<Result<FeedPage, FeedError>>;
};
