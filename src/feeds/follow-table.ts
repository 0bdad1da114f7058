/** Follows a table of the platform across outages and losses of its change history. */
import type {Clock} from '../core/clock.js';
import type {RandomSource} from '../decisions/random.js';
import {chooseBackoffMillis} from '../decisions/retry/backoff.js';
import type {Log} from '../observability/log.js';
import type {Result} from '../core/result.js';
import type {
	FeedError, FeedPage, FeedRow, TableFeed,
} from '../ports/table-feed.js';
import type {FeedInterrupt} from './feed-interrupt.js';
import {FIRST_RETRY_MILLIS, MAX_RETRY_MILLIS} from './follow-table-constants.js';

/** Information about an answer of the store. */
export type StoreContact = Readonly<{
	/** Monotonic clock of the store, in milliseconds. */
	storeMillis: number;
	/** Whether it is the first one after failed calls. */
	isAfterOutage: boolean;
}>;

/** Callbacks for the rows of a followed table. */
export type TableListener = Readonly<{
	/** Receives all rows of the table; other rows no longer exist. */
	onSnapshot: (rows: readonly FeedRow[], contact: StoreContact) => void;
	onChanges: (rows: readonly FeedRow[], contact: StoreContact) => void;
}>;

/** Options of `followTable`. */
export type FollowOptions = Readonly<{
	feed: TableFeed;
	table: string;
	clock: Clock;
	log: Log;
	random: RandomSource;
	/** Stops following when it aborts. */
	signal: AbortSignal;
	/** Maximum time that one call waits for a change, in milliseconds. */
	waitMillis: number;
	/** Minimum time between the starts of two calls, in milliseconds; bounds the call rate when rows change all the time. */
	minIntervalMillis: number;
	listener: TableListener;
	/** Shared with the other feeds of the process; optional. */
	interrupt?: FeedInterrupt;
	/** Called for each successful answer of the store. */
	onContact?: () => void;
}>;

type Position = Readonly<{
	/** Version up to which all changes are known; undefined when all rows must be read. */
	version: number | undefined;
	/** Failed calls since the last successful one. */
	failures: number;
	/** Whether the store answered the last call. */
	isAnswered: boolean;
}>;

const BACKOFF = {initialMillis: FIRST_RETRY_MILLIS, maxMillis: MAX_RETRY_MILLIS};
const INITIAL_POSITION: Position = {version: undefined, failures: 0, isAnswered: true};

function handleFailure(options: FollowOptions, previous: Position, err: FeedError): Position {
	if (err.tag === 'history_lost') {
		options.log.info('table history no longer available; reading all rows', {table: options.table, version: previous.version});
		return {version: undefined, failures: previous.failures, isAnswered: true};
	}

	if (previous.failures === 0 && !options.signal.aborted) {
		options.log.warn('lost the table', {table: options.table, detail: err.detail, version: previous.version});
		options.interrupt?.raise();
	}

	return {version: previous.version, failures: previous.failures + 1, isAnswered: false};
}

async function readChanges({feed, table, interrupt, waitMillis}: FollowOptions, version: number, failures: number): Promise<Result<FeedPage, FeedError>> {
	const interrupted = new AbortController();
	const unregister = interrupt?.register(() => {
		interrupted.abort();
	});
	// Calls after a failure do not wait, so that the changes made during an outage are known as soon as it ends.
	const page = await feed.readChanges(table, version, failures > 0 ? 0 : waitMillis, interrupted.signal);
	unregister?.();
	return page;
}

async function pollOnce(options: FollowOptions, previous: Position): Promise<Position> {
	const {feed, table, listener} = options;
	const page = previous.version === undefined
		? await feed.readAll(table)
		: await readChanges(options, previous.version, previous.failures);
	if (!page.ok) {
		return handleFailure(options, previous, page.error);
	}

	options.onContact?.();
	if (previous.failures > 0) {
		options.log.info('regained the table', {table, failures: previous.failures, version: page.value.version});
	}

	const {rows, storeMillis, version} = page.value;
	const contact = {storeMillis, isAfterOutage: previous.failures > 0};
	if (previous.version === undefined) {
		listener.onSnapshot(rows, contact);
	} else {
		listener.onChanges(rows, contact);
	}

	return {version: Math.max(version, previous.version ?? 0), failures: 0, isAnswered: true};
}

/** Follows the table until the signal aborts; errors are logged and retried. */
export async function followTable(options: FollowOptions): Promise<void> {
	const {clock, signal, random, minIntervalMillis} = options;
	let position = INITIAL_POSITION;
	/* eslint-disable no-await-in-loop -- Calls are sequential. */
	while (!signal.aborted) {
		const startedAtMillis = clock.monotonicMillis();
		position = await pollOnce(options, position);
		const elapsedMillis = clock.monotonicMillis() - startedAtMillis;
		const pauseMillis = position.isAnswered
			? Math.max(0, minIntervalMillis - elapsedMillis)
			: chooseBackoffMillis(BACKOFF, position.failures - 1, random);
		await clock.sleep(pauseMillis, signal);
	}
	/* eslint-enable no-await-in-loop */
}
