/** Cache events of the engine, kept for the links that have not sent them yet. */
import type {CacheEvent} from '../ports/model-engine.js';
import {MAX_CACHE_EVENTS} from './agent-constants.js';

/** Events after a cursor. `hasGap` is true when events after the cursor are missing. */
export type CacheEventPage = Readonly<{events: readonly CacheEvent[]; cursor: number; hasGap: boolean}>;

/** Log of the newest `MAX_CACHE_EVENTS` cache events. */
export type CacheEventLog = {
	readonly append: (events: readonly CacheEvent[]) => void;
	/** Sequence of the newest event; 0 when there is none. */
	readonly lastSequence: () => number;
	/** Events with a sequence above `cursor`. */
	readonly readAfter: (cursor: number) => CacheEventPage;
};

/** Creates an empty log. */
export function createCacheEventLog(): CacheEventLog {
	let retained: readonly CacheEvent[] = [];
	const lastSequence = () => retained.at(-1)?.sequence ?? 0;

	return {
		append(events) {
			const fresh = events.filter(event => event.sequence > lastSequence());
			retained = [...retained, ...fresh].slice(-MAX_CACHE_EVENTS);
		},
		lastSequence,
		readAfter(cursor) {
			const events = retained.filter(event => event.sequence > cursor);
			return {events, cursor: Math.max(cursor, lastSequence()), hasGap: hasGapAfter(cursor, events)};
		},
	};
}

function hasGapAfter(cursor: number, events: readonly CacheEvent[]): boolean {
	return events.some((event, i) => event.sequence !== (events[i - 1]?.sequence ?? cursor) + 1);
}
