/** Failure domains that the operators have evacuated: their backend servers get no requests. */
import type {Clock} from '../core/clock.js';
import type {TableListener} from '../feeds/follow-table.js';
import type {Log} from '../observability/log.js';
import type {FeedRow} from '../ports/table-feed.js';
import {RETURN_WARM_UP_MILLIS} from './gateway-constants.js';

/** Returns the failure domain that a row with this key evacuates; undefined if the key is that of another row. */
export type ReadEvacuation = (key: string) => string | undefined;

/** The evacuated failure domains and the table listener that updates them. */
export type Evacuations = Readonly<{
	isEvacuated: (failureDomain: string) => boolean;
	list: () => readonly string[];
	/** Time for which the backend servers of a failure domain that is back are still selected as if they had just started, in milliseconds. */
	readReturnLeftMillis: (failureDomain: string) => number;
	listener: TableListener;
}>;

type Deps = Readonly<{
	clock: Clock;
	log: Log;
	read: ReadEvacuation;
	/** Called with the failure domains that have been evacuated, after a change. */
	onChange: (evacuated: readonly string[]) => void;
}>;

/** Creates a list without evacuations. */
export function createEvacuations({clock, log, read, onChange}: Deps): Evacuations {
	let evacuated: ReadonlySet<string> = new Set();
	const returnedAtMillis = new Map<string, number>();

	function replace(next: ReadonlySet<string>): void {
		const added = [...next].filter(failureDomain => !evacuated.has(failureDomain));
		const removed = [...evacuated].filter(failureDomain => !next.has(failureDomain));
		evacuated = next;
		for (const failureDomain of added) {
			log.info('failure domain evacuated', {failureDomain, evacuated: next.size});
			returnedAtMillis.delete(failureDomain);
		}

		for (const failureDomain of removed) {
			log.info('failure domain back', {failureDomain, evacuated: next.size});
			returnedAtMillis.set(failureDomain, clock.monotonicMillis());
		}

		if (added.length > 0 || removed.length > 0) {
			onChange(added);
		}
	}

	function applyRows(before: ReadonlySet<string>, rows: readonly FeedRow[]): ReadonlySet<string> {
		const after = new Set(before);
		for (const {key, text} of rows) {
			const failureDomain = read(key);
			if (failureDomain !== undefined && text === undefined) {
				after.delete(failureDomain);
			} else if (failureDomain !== undefined) {
				after.add(failureDomain);
			}
		}

		return after;
	}

	return {
		isEvacuated: failureDomain => evacuated.has(failureDomain),
		list: () => [...evacuated].toSorted(),
		readReturnLeftMillis: failureDomain =>
			Math.max(0, (returnedAtMillis.get(failureDomain) ?? -Infinity) + RETURN_WARM_UP_MILLIS - clock.monotonicMillis()),
		listener: {
			onSnapshot(rows) {
				replace(applyRows(new Set(), rows));
			},
			onChanges(rows) {
				replace(applyRows(evacuated, rows));
			},
		},
	};
}
