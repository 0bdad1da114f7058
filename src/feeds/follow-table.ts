/** Follows a table of the platform across outages and losses of its change history. */
import type {Clock} from '../core/clock.js';
import type {RandomSource} from '../decisions/random.js';
import {chooseBackoffMillis, type BackoffOptions} from '../decisions/retry/backoff.js';
import type {Log} from '../observability/log.js';
import type {Result} from '../core/result.js';
import type {
	FeedError, FeedPage, FeedRow, TableFeed,
} from '../ports/table-feed.js';
import type {FeedInterrupt} from './feed-interrupt.js';
import {FIRST_RETRY_MILLIS, MAX_SILENCE_PROOF_MILLIS, MIN_RETRY_CAP_MILLIS} from './follow-table-constants.js';

/** Information about an answer of the store. */
export type StoreContact = Readonly<{
	/** Monotonic clock of the store, in milliseconds. */
	storeMillis: number;
	/** Whether it is the first one after failed calls, or after the store has returned from an older copy. */
	isAfterOutage: boolean;
}>;

/** Callbacks for the rows of a followed table. */
export type TableListener = Readonly<{
	/** Receives all rows of the table; other rows no longer exist. */
	onSnapshot: (rows: readonly FeedRow[], contact: StoreContact) => void;
	onChanges: (rows: readonly FeedRow[], contact: StoreContact) => void;
}>;

/** Passes the rows of one table to several listeners, in their order. */
export function combineListeners(listeners: readonly TableListener[]): TableListener {
	return {
		onSnapshot(rows, contact) {
			for (const {onSnapshot} of listeners) {
				onSnapshot(rows, contact);
			}
		},
		onChanges(rows, contact) {
			for (const {onChanges} of listeners) {
				onChanges(rows, contact);
			}
		},
	};
}

/** Observes the calls of feeds. */
export type FeedObserver = Readonly<{
	/** Receives, after each answer, the version up to which all changes are known, and that of the last change in the answer. */
	onAnswer: (table: string, versions: Readonly<{position: number; newestChange: number}>) => void;
	/** Called for each call that the store did not answer. */
	onFailure: (table: string) => void;
	/** Called when a connection has proved dead: a wait was not answered in time, and the next call, on another connection, was at once. */
	onSilence: (table: string) => void;
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
	/** Chooses the maximum time that one call waits for a change, in milliseconds; gets the monotonic clock of the store. */
	chooseWaitMillis: (storeMillis: number) => number;
	/** Minimum time between the starts of two calls, in milliseconds; bounds the call rate when rows change all the time. */
	minIntervalMillis: number;
	listener: TableListener;
	/** Shared with the other feeds of the process; optional. */
	interrupt?: FeedInterrupt;
	observer?: FeedObserver;
	/** Chooses the delays after failed calls; optional. */
	chooseBackoff?: () => BackoffOptions;
}>;

type Position = Readonly<{
	/** Version up to which all changes are known; undefined when all rows must be read. */
	version: number | undefined;
	/** Failed calls since the last successful one. */
	failures: number;
	/** Whether the store answered the last call. */
	isAnswered: boolean;
	/** Whether the last call was interrupted; the next one must not wait for changes. */
	isInterrupted: boolean;
	/** Whether the store has returned from an older copy since the last answer. */
	isRestored: boolean;
	/** By how much the clock of the store was ahead of that of this process, at the last answer. */
	storeAheadMillis: number;
	/** Monotonic time at which the only failed call since the last answer timed out while it waited; otherwise undefined. */
	silentAtMillis: number | undefined;
}>;

const DEFAULT_BACKOFF: BackoffOptions = {initialMillis: FIRST_RETRY_MILLIS, maxMillis: MIN_RETRY_CAP_MILLIS};
const INITIAL_POSITION: Position = {
	version: undefined, failures: 0, isAnswered: true, isInterrupted: false, isRestored: false, storeAheadMillis: 0, silentAtMillis: undefined,
};

function handleFailure({log, table, clock, signal, observer, interrupt}: FollowOptions, previous: Position, err: FeedError): Position {
	if (err.tag === 'history_lost') {
		log.info('table history no longer available; reading all rows', {table, version: previous.version, isRestored: err.isRestored});
		return {
			...previous, version: undefined, isAnswered: true, isInterrupted: false, isRestored: err.isRestored,
		};
	}

	if (!signal.aborted) {
		observer?.onFailure(table);
	}

	if (previous.failures === 0 && !signal.aborted) {
		log.warn('lost the table', {table, detail: err.detail, version: previous.version});
		interrupt?.raise();
	}

	const isSilent = err.isTimeout === true && previous.failures === 0 && previous.version !== undefined;
	return {
		...previous, failures: previous.failures + 1, isAnswered: false, isInterrupted: false, silentAtMillis: isSilent ? clock.monotonicMillis() : undefined,
	};
}

/** Reads changes; undefined when the call was interrupted. */
async function readChanges(options: FollowOptions, version: number, {failures, isInterrupted, storeAheadMillis}: Position): Promise<Result<FeedPage, FeedError> | undefined> {
	const {feed, table, clock, interrupt, chooseWaitMillis} = options;
	const interrupted = new AbortController();
	const unregister = interrupt?.register(table, () => {
		interrupted.abort();
	});
	// Calls after a failure do not wait, so that the changes made during an outage are known as soon as it ends.
	const waitMillis = failures > 0 || isInterrupted ? 0 : chooseWaitMillis(clock.monotonicMillis() + storeAheadMillis);
	const page = await feed.readChanges(table, version, waitMillis, interrupted.signal);
	unregister?.();
	return !page.ok && interrupted.signal.aborted ? undefined : page;
}

async function pollOnce(options: FollowOptions, previous: Position): Promise<Position> {
	const {feed, table, listener} = options;
	const page = previous.version === undefined
		? await feed.readAll(table)
		: await readChanges(options, previous.version, previous);
	if (!page) {
		return {...previous, isAnswered: true, isInterrupted: true};
	}

	if (!page.ok) {
		return handleFailure(options, previous, page.error);
	}

	if (previous.failures > 0) {
		options.log.info('regained the table', {table, failures: previous.failures, version: page.value.version});
	}

	const {rows, storeMillis} = page.value;
	const version = Math.max(page.value.version, previous.version ?? 0);
	const contact = {storeMillis, isAfterOutage: previous.failures > 0 || previous.isRestored};
	if (previous.version === undefined) {
		listener.onSnapshot(rows, contact);
	} else {
		listener.onChanges(rows, contact);
	}

	const nowMillis = options.clock.monotonicMillis();
	if (previous.silentAtMillis !== undefined && nowMillis - previous.silentAtMillis <= MAX_SILENCE_PROOF_MILLIS) {
		options.observer?.onSilence(table);
	}

	options.observer?.onAnswer(table, {position: version, newestChange: Math.max(0, ...rows.map(row => row.version))});
	return {
		version, failures: 0, isAnswered: true, isInterrupted: false, isRestored: false, storeAheadMillis: storeMillis - nowMillis, silentAtMillis: undefined,
	};
}

/** Follows the table until the signal aborts; errors are logged and retried. */
export async function followTable(options: FollowOptions): Promise<void> {
	const {clock, signal, random, minIntervalMillis, chooseBackoff = () => DEFAULT_BACKOFF} = options;
	let position = INITIAL_POSITION;
	/* eslint-disable no-await-in-loop -- Calls are sequential. */
	while (!signal.aborted) {
		const startedAtMillis = clock.monotonicMillis();
		position = await pollOnce(options, position);
		const elapsedMillis = clock.monotonicMillis() - startedAtMillis;
		const pauseMillis = position.isAnswered
			? Math.max(0, minIntervalMillis - elapsedMillis)
			: chooseBackoffMillis(chooseBackoff(), position.failures - 1, random);
		await clock.sleep(pauseMillis, signal);
	}
	/* eslint-enable no-await-in-loop */
}
