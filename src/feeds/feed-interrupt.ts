/**
 * Answers a store that falls silent: once one feed has lost it, the waiting calls of the others end, as their connections may
 * be as dead. They can therefore wait long without learning late that the store is back.
 */
import type {Teardown} from '../core/teardown.js';

/** What the feeds of a process share. */
export type FeedInterrupt = Readonly<{
	/** Calls `onInterrupt` each time that a feed loses the store, until the registration is undone. */
	register: (onInterrupt: () => void) => Teardown;
	/** Tells the feeds that the store was lost. */
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
