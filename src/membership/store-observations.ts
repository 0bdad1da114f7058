/**
 * What the entries together know of the platform's store. Each tells the others when it last reached the store and which changes
 * it has seen. One entry that notices that its connection is dead is thus enough for all to find out that theirs are.
 */
import type {Clock} from '../core/clock.js';
import type {FeedInterrupt} from '../feeds/feed-interrupt.js';
import type {FeedObserver} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {StoreView} from '../wire/generated/membership.js';

/** Time for a change that another entry has seen to arrive over this entry's own feed, in milliseconds. */
const FEED_LAG_MILLIS = 300;

/** Time without any answer from which failed calls are an outage, in milliseconds; the rows of backend servers lapse no sooner. */
const MIN_OUTAGE_MILLIS = 3000;

export type StoreObservations = FeedObserver & Readonly<{
	/** Time since an entry, this one or another, last got an answer of the store, in milliseconds. */
	readContactAgeMillis: () => number;
	/** Time since the end of the last outage of the store, in milliseconds; 0 during one. An entry that alone cannot reach the store does not make an outage. */
	readOutageAgeMillis: () => number;
	describe: (nowMillis: number) => StoreView;
	merge: (view: StoreView, nowMillis: number) => void;
}>;

type Deps = Readonly<{clock: Clock; log: Log; interrupt: FeedInterrupt}>;

/** Creates the observations of an entry that has not reached the store yet. */
export function createStoreObservations({clock, log, interrupt}: Deps): StoreObservations {
	let contactAtMillis = -Infinity;
	let failureAtMillis = -Infinity;
	let outageEndedAtMillis = -Infinity;
	/** Version of the last change of each table that an entry has seen. */
	const newestChanges = new Map<string, number>();
	/** Version up to which this entry knows all changes of each table that it follows. */
	const positions = new Map<string, number>();
	const checkedTables = new Set<string>();

	function noteChange(table: string, version: number): void {
		newestChanges.set(table, Math.max(version, newestChanges.get(table) ?? 0));
	}

	/** Whether all that is known up to a time shows an outage since the last contact. */
	function isOutage(nowMillis: number): boolean {
		return Number.isFinite(contactAtMillis) && failureAtMillis > contactAtMillis && nowMillis - contactAtMillis >= MIN_OUTAGE_MILLIS;
	}

	function noteContact(atMillis: number): void {
		if (isOutage(atMillis)) {
			outageEndedAtMillis = atMillis;
		}

		contactAtMillis = Math.max(contactAtMillis, atMillis);
	}

	function isBehind(table: string): boolean {
		const position = positions.get(table);
		return position !== undefined && (newestChanges.get(table) ?? 0) > position;
	}

	/** Interrupts the feed of a table if it still lacks a change after the usual delay. */
	async function checkFeed(table: string): Promise<void> {
		if (!isBehind(table) || checkedTables.has(table)) {
			return;
		}

		checkedTables.add(table);
		await clock.sleep(FEED_LAG_MILLIS);
		checkedTables.delete(table);
		if (isBehind(table)) {
			log.info('feed is behind the other entries; reading changes', {table, version: positions.get(table), newest: newestChanges.get(table)});
			interrupt.raise(table);
		}
	}

	return {
		onAnswer(table, {position, newestChange}) {
			noteContact(clock.monotonicMillis());
			positions.set(table, position);
			noteChange(table, newestChange);
		},
		onFailure() {
			failureAtMillis = clock.monotonicMillis();
		},
		readContactAgeMillis: () => clock.monotonicMillis() - contactAtMillis,
		readOutageAgeMillis() {
			const nowMillis = clock.monotonicMillis();
			return isOutage(nowMillis) ? 0 : nowMillis - outageEndedAtMillis;
		},
		describe: nowMillis => ({
			tables: [...newestChanges].map(([table, version]) => ({table, version})),
			contactAgeMillis: Number.isFinite(contactAtMillis) ? Math.round(nowMillis - contactAtMillis) : undefined,
			failureAgeMillis: Number.isFinite(failureAtMillis) ? Math.round(nowMillis - failureAtMillis) : undefined,
		}),
		merge({tables, contactAgeMillis, failureAgeMillis}, nowMillis) {
			failureAtMillis = Math.max(failureAtMillis, nowMillis - (failureAgeMillis ?? Infinity));
			for (const {table, version} of tables) {
				noteChange(table, version);
				void checkFeed(table);
			}

			// The other entry's contact says that no change was missed only if this entry knows all that the other one does.
			if (tables.every(({table}) => !isBehind(table))) {
				noteContact(nowMillis - (contactAgeMillis ?? Infinity));
			}
		},
	};
}
