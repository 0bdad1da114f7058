/** Rows by which entries find each other in the platform's table store. They say where an entry was started, not that it lives. */
import {z} from 'zod';
import type {Clock} from '../core/clock.js';
import {describeError} from '../core/describe-error.js';
import {fail, succeed, type Result} from '../core/result.js';
import type {RandomSource} from '../decisions/random.js';
import {chooseBackoffMillis} from '../decisions/retry/backoff.js';
import type {Log} from '../observability/log.js';
import type {FeedRow, TableFeed} from '../ports/table-feed.js';
import type {TableStore} from '../ports/table-store.js';
import type {SelfDescription} from './failure-detector-types.js';

/** Table of the rows. */
export const ENTRY_TABLE = 'entries';

const rowSchema = z.object({
	incarnation: z.string(),
	callerAddress: z.string().min(1),
	gossipAddress: z.string().min(1),
	/** `IP:port` of the listener that reports what the entry believes. */
	statusAddress: z.string(),
	failureDomain: z.string(),
});

/** Contents of a row. */
export type EntryRow = Readonly<z.infer<typeof rowSchema>>;

/** An entry as its row describes it; the version of the row numbers the starts of the entry. */
export type RegisteredEntry = SelfDescription & Readonly<{statusAddress: string}>;

const BACKOFF = {initialMillis: 100, maxMillis: 1500};

function parseRow(text: string): Result<EntryRow, string> {
	try {
		const row = rowSchema.safeParse(JSON.parse(text));
		return row.success ? succeed(row.data) : fail(z.prettifyError(row.error));
	} catch (error) {
		return fail(describeError(error));
	}
}

/** Parses rows; those that cannot be read are logged and left out. */
export function readEntryRows(rows: readonly FeedRow[], log: Log): readonly RegisteredEntry[] {
	return rows.flatMap(({key, text, version}) => {
		if (text === undefined) {
			return [];
		}

		const row = parseRow(text);
		if (!row.ok) {
			log.warn('unreadable entry row', {key, detail: row.error});
			return [];
		}

		const {callerAddress, gossipAddress, failureDomain, statusAddress} = row.value;
		return [{
			id: key, generation: version, callerAddress, gossipAddress, failureDomain, statusAddress,
		}];
	});
}

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	random: RandomSource;
	table: TableStore;
	feed: TableFeed;
	signal: AbortSignal;
}>;

/** Repeats a call until it succeeds; undefined once the signal aborts. */
async function repeatUntilDone<T>({clock, random, signal}: Deps, call: () => Promise<T | undefined>): Promise<T | undefined> {
	/* eslint-disable no-await-in-loop -- Calls are sequential. */
	for (let failures = 0; !signal.aborted; failures++) {
		const done = await call();
		if (done !== undefined) {
			return done;
		}

		await clock.sleep(chooseBackoffMillis(BACKOFF, failures, random), signal);
	}
	/* eslint-enable no-await-in-loop */

	return undefined;
}

/** Writes the row of this entry; returns its version, which is higher than those of all earlier starts. */
export async function writeEntryRow(deps: Deps, id: string, value: EntryRow): Promise<number | undefined> {
	return repeatUntilDone(deps, async () => {
		// A write without a reply is written again: the generation must be one that the store has acknowledged.
		const written = await deps.table.transact({conditions: [], writes: [{table: ENTRY_TABLE, key: id, value}]});
		if (!written.ok) {
			deps.log.warn('entry row not written', {error: written.error.tag});
		}

		return written.ok ? written.value[0]?.version : undefined;
	});
}

/** Reads the rows of all entries. */
export async function listEntryRows(deps: Deps): Promise<readonly RegisteredEntry[] | undefined> {
	return repeatUntilDone(deps, async () => {
		const page = await deps.feed.readAll(ENTRY_TABLE);
		if (!page.ok) {
			deps.log.warn('entry rows not read', {error: page.error.tag});
		}

		return page.ok ? readEntryRows(page.value.rows, deps.log) : undefined;
	});
}

/** Removes the row of this entry unless a later start has replaced it. */
export async function removeEntryRow({table, log}: Pick<Deps, 'table' | 'log'>, id: string, generation: number): Promise<void> {
	const removed = await table.transact({conditions: [{table: ENTRY_TABLE, key: id, version: generation}], writes: [{table: ENTRY_TABLE, key: id, value: undefined}]});
	if (!removed.ok) {
		log.warn('entry row not removed', {error: removed.error.tag});
	}
}
