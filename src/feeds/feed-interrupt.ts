/**
 * Handles a store that stops responding: when one feed loses the store, the waiting calls of the others are cancelled, because
 * their connections may be dead too. Long waits therefore do not delay the detection that the store is back.
 */
import type {Teardown} from '../core/teardown.js';

/** An interrupt that the feeds of a process share. */
export type FeedInterrupt = Readonly<{
	/** Calls `onInterrupt` each time the feed of `table` should call the store again, until the returned function is called. */
	register: (table: string, onInterrupt: () => void) => Teardown;
	/** Interrupts the feed of a table, or all feeds. */
	raise: (table?: string) => void;
}>;

/** Creates an interrupt for the feeds of one process. */
export function createFeedInterrupt(): FeedInterrupt {
	const listeners = new Map<() => void, string>();
	return {
		register(table, onInterrupt) {
			listeners.set(onInterrupt, table);
			return () => {
				listeners.delete(onInterrupt);
			};
		},
		raise(table) {
			for (const [listener, listenerTable] of listeners) {
				if (table === undefined || table === listenerTable) {
					listener();
				}
			}
		},
	};
}
