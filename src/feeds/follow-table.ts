/** Follows a table of the platform through outages and lost history. */
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

/** An answer of the store. */
export type StoreContact = Readonly<{
	/** Steady clock of the store, in milliseconds. */
	storeMillis: number;
	/** Whether the calls before this one failed. */
	isAfterOutage: boolean;
}>;

/** What a follower does with the rows. */
export type TableListener = Readonly<{
	/** All rows of the table; those not named are gone. */
	onSnapshot: (rows: readonly FeedRow[], contact: StoreContact) => void;
	onChanges: (rows: readonly FeedRow[], contact: StoreContact) => void;
}>;

/** How a table is followed. */
export type FollowOptions = Readonly<{
	feed: TableFeed;
	table: string;
	clock: Clock;
	log: Log;
	random: RandomSource;
	/** Ends the task when it aborts. */
	signal: AbortSignal;
	/** Longest wait for a change in one call, in milliseconds. */
	waitMillis: number;
	/** Least time between two calls, in milliseconds; bounds the calls where rows change all the time. */
	minIntervalMillis: number;
	listener: TableListener;
	/** Shared with the other feeds of the process; undefined for a feed of its own. */
	interrupt?: FeedInterrupt;
	/** Called with each answer of the store. */
	onContact?: () => void;
}>;

type Position = Readonly<{
	/** Version up to which all changes are known; undefined when all rows must be read. */
	version: number | undefined;
	/** Calls without rows since the last one that gave some. */
	failures: number;
	/** Whether the store answered the last call. */
	isAnswered: boolean;
}>;

const BACKOFF = {initialMillis: FIRST_RETRY_MILLIS, maxMillis: MAX_RETRY_MILLIS};
const START: Position = {version: undefined, failures: 0, isAnswered: true};

function noteFailure(options: FollowOptions, before: Position, err: FeedError): Position {
	if (err.tag === 'history_lost') {
		options.log.info('history of the table dropped; reading all rows', {table: options.table, version: before.version});
		return {version: undefined, failures: before.failures, isAnswered: true};
	}

	if (before.failures === 0 && !options.signal.aborted) {
		options.log.warn('lost the table', {table: options.table, detail: err.detail, version: before.version});
		options.interrupt?.raise();
	}

	return {version: before.version, failures: before.failures + 1, isAnswered: false};
}

async function readChanges({feed, table, interrupt, waitMillis}: FollowOptions, version: number, failures: number): Promise<Result<FeedPage, FeedError>> {
	const interrupted = new AbortController();
	const unregister = interrupt?.register(() => {
		interrupted.abort();
	});
	// After an outage the first answer is wanted at once, so that it is known what has changed since.
	const page = await feed.readChanges(table, version, failures > 0 ? 0 : waitMillis, interrupted.signal);
	unregister?.();
	return page;
}

async function step(options: FollowOptions, before: Position): Promise<Position> {
	const {feed, table, listener} = options;
	const page = before.version === undefined
		? await feed.readAll(table)
		: await readChanges(options, before.version, before.failures);
	if (!page.ok) {
		return noteFailure(options, before, page.error);
	}

	options.onContact?.();
	if (before.failures > 0) {
		options.log.info('regained the table', {table, failures: before.failures, version: page.value.version});
	}

	const {rows, storeMillis, version} = page.value;
	const contact = {storeMillis, isAfterOutage: before.failures > 0};
	if (before.version === undefined) {
		listener.onSnapshot(rows, contact);
	} else {
		listener.onChanges(rows, contact);
	}

	return {version: Math.max(version, before.version ?? 0), failures: 0, isAnswered: true};
}

/** Follows the table until the signal aborts; errors are logged and retried. */
export async function followTable(options: FollowOptions): Promise<void> {
	const {clock, signal, random, minIntervalMillis: paceMillis} = options;
	let position = START;
	/* eslint-disable no-await-in-loop -- One call after the other. */
	while (!signal.aborted) {
		const startedAtMillis = clock.monotonicMillis();
		position = await step(options, position);
		const elapsedMillis = clock.monotonicMillis() - startedAtMillis;
		const pauseMillis = position.isAnswered
			? Math.max(0, paceMillis - elapsedMillis)
			: chooseBackoffMillis(BACKOFF, position.failures - 1, random);
		await clock.sleep(pauseMillis, signal);
	}
	/* eslint-enable no-await-in-loop */
}
