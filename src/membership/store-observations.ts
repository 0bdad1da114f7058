/**
 * What the entries together know of the platform's store. Each tells the others when it last reached the store and which changes
 * it has seen. One entry that notices that its connection is dead is thus enough for all to find out that theirs are.
 */
import type {Clock} from '../core/clock.js';
import type {RandomSource} from '../decisions/random.js';
import type {FeedInterrupt} from '../feeds/feed-interrupt.js';
import type {FeedObserver} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {StoreView} from '../wire/generated/membership.js';

/** Time for a change that another entry has seen to arrive over this entry's own feed, in milliseconds. */
const FEED_LAG_MILLIS = 300;

/** Longest delay of the calls that follow when another entry has found its connection dead, in milliseconds. */
const MAX_RENEWAL_DELAY_MILLIS = 300;

/** Time between two findings that are taken for one, in milliseconds; their ages are rounded and travel for some time. */
const SAME_SILENCE_MILLIS = 500;
/** Age from which a finding is no longer passed on, in milliseconds; by then each entry has called the store. */
const MAX_SILENCE_AGE_MILLIS = 30_000;

/** Age of the last contact of any entry from which a failed call of another makes this one call too, in milliseconds; rows lapse later. */
const CHECK_AGE_MILLIS = 2000;
/** Longest delay of such a call, in milliseconds; the entry that calls first saves the others their calls if it is answered. */
const MAX_CHECK_DELAY_MILLIS = 1000;

export type StoreObservations = FeedObserver & Readonly<{
	/** Time since an entry, this one or another, last got an answer of the store, in milliseconds. */
	readContactAgeMillis: () => number;
	/** Time since a call of this entry's own last failed, in milliseconds. */
	readFailureAgeMillis: () => number;
	describe: (nowMillis: number) => StoreView;
	merge: (view: StoreView, nowMillis: number) => void;
}>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	random: RandomSource;
	interrupt: FeedInterrupt;
	/** Called when a connection of this entry has proved dead: those of the others may be, too, and they wait on them. */
	onSilence: () => void;
}>;

/** Creates the observations of an entry that has not reached the store yet. */
export function createStoreObservations({
	clock, log, random, interrupt, onSilence,
}: Deps): StoreObservations {
	let contactAtMillis = -Infinity;
	let failureAtMillis = -Infinity;
	let ownFailureAtMillis = -Infinity;
	let isCheckScheduled = false;
	/** Version of the last change of each table that an entry has seen. */
	const newestChanges = new Map<string, number>();
	/** Version up to which this entry knows all changes of each table that it follows. */
	const positions = new Map<string, number>();
	const checkedTables = new Set<string>();
	/** When this entry last got an answer for each table. */
	const answeredAtMillis = new Map<string, number>();
	/** When a connection of an entry, this one or another, was last found dead. */
	let silentAtMillis = -Infinity;

	function noteChange(table: string, version: number): void {
		newestChanges.set(table, Math.max(version, newestChanges.get(table) ?? 0));
	}

	function isBehind(table: string): boolean {
		const position = positions.get(table);
		return position !== undefined && (newestChanges.get(table) ?? 0) > position;
	}

	/** Whether calls have failed since any entry last reached the store, some time ago. */
	function mayBeOutage(): boolean {
		return failureAtMillis > contactAtMillis && clock.monotonicMillis() - contactAtMillis >= CHECK_AGE_MILLIS;
	}

	/** Calls the store if another entry cannot reach it and no entry has for a while: this entry's own feeds may wait on dead connections. */
	async function checkStore(): Promise<void> {
		if (isCheckScheduled || !mayBeOutage()) {
			return;
		}

		isCheckScheduled = true;
		await clock.sleep(random() * MAX_CHECK_DELAY_MILLIS);
		if (mayBeOutage()) {
			interrupt.raise();
		}

		// The answer, or the failure, needs time to arrive.
		await clock.sleep(MAX_CHECK_DELAY_MILLIS);
		isCheckScheduled = false;
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

	/** Calls the store again for the tables of which nothing has been heard since a connection of another entry was found dead. */
	async function renewCalls(): Promise<void> {
		const foundAtMillis = silentAtMillis;
		await clock.sleep(random() * MAX_RENEWAL_DELAY_MILLIS);
		for (const [table, millis] of answeredAtMillis) {
			if (millis < foundAtMillis) {
				interrupt.raise(table);
			}
		}
	}

	return {
		onSilence(table) {
			silentAtMillis = clock.monotonicMillis();
			log.info('connection to the store fell silent', {table});
			onSilence();
		},
		onAnswer(table, {position, newestChange}) {
			contactAtMillis = clock.monotonicMillis();
			answeredAtMillis.set(table, contactAtMillis);
			positions.set(table, position);
			noteChange(table, newestChange);
		},
		onFailure() {
			ownFailureAtMillis = clock.monotonicMillis();
			failureAtMillis = ownFailureAtMillis;
		},
		readContactAgeMillis: () => clock.monotonicMillis() - contactAtMillis,
		readFailureAgeMillis: () => clock.monotonicMillis() - ownFailureAtMillis,
		describe: nowMillis => ({
			tables: [...newestChanges].map(([table, version]) => ({table, version})),
			contactAgeMillis: Number.isFinite(contactAtMillis) ? Math.round(nowMillis - contactAtMillis) : undefined,
			failureAgeMillis: Number.isFinite(failureAtMillis) ? Math.round(nowMillis - failureAtMillis) : undefined,
			silenceAgeMillis: nowMillis - silentAtMillis <= MAX_SILENCE_AGE_MILLIS ? Math.round(nowMillis - silentAtMillis) : undefined,
		}),
		merge({tables, contactAgeMillis, failureAgeMillis, silenceAgeMillis}, nowMillis) {
			if (silenceAgeMillis !== undefined && nowMillis - silenceAgeMillis > silentAtMillis + SAME_SILENCE_MILLIS) {
				silentAtMillis = nowMillis - silenceAgeMillis;
				void renewCalls();
			}

			failureAtMillis = Math.max(failureAtMillis, nowMillis - (failureAgeMillis ?? Infinity));
			for (const {table, version} of tables) {
				noteChange(table, version);
				void checkFeed(table);
			}

			// The other entry's contact says that no change was missed only if this entry knows all that the other one does.
			if (tables.every(({table}) => !isBehind(table))) {
				contactAtMillis = Math.max(contactAtMillis, nowMillis - (contactAgeMillis ?? Infinity));
			}

			void checkStore();
		},
	};
}
