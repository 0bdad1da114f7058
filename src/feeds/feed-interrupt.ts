/**
 * Handles a store that stops responding: when one feed loses the store, the waiting calls of the others are cancelled, because
 * their connections may be dead too. Long waits therefore do not delay the detection that the store is back.
 */
import type {Teardown} from '../core/teardown.js';

/** An interrupt that the feeds of a process share. */
export type FeedInterrupt = Readonly<{
	/** Calls `onInterrupt` each time a feed loses the store, until the returned function is called. */
	register: (onInterrupt: () => void) => Teardown;
	/** Notifies the feeds that the store was lost. */
	raise: () => void;
}>;

/** Creates an interrupt for the feeds of one process. */
export function createFeedInterrupt(): FeedInterrupt {
	const listeners = new Set<() => void>();
	return {
		register(onInterrupt) {
			listeners.add(onInterrupt);
			return () => {
				listeners.delete(onInterrupt);
			};
		},
		raise() {
			for (const listener of listeners) {
				listener();
			}
		},
	};
}
