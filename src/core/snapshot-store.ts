import type {Teardown} from './teardown.js';

/** Holds the current version of an immutable snapshot. */
export type SnapshotStore<T> = {
	/** The current snapshot. */
	readonly read: () => T;
	/** Replaces the snapshot with the value that `change` returns; notifies the listeners unless it is the same value. */
	readonly update: (change: (snapshot: T) => T) => T;
	/** Calls `listener` after each change. */
	readonly registerListener: (listener: (snapshot: T, before: T) => void) => Teardown;
};

export function createSnapshotStore<T>(initial: T): SnapshotStore<T> {
	let current = initial;
	const listeners = new Set<(snapshot: T, before: T) => void>();

	return {
		read: () => current,
		update(change) {
			const before = current;
			current = change(before);
			if (current !== before) {
				for (const listener of listeners) {
					listener(current, before);
				}
			}

			return current;
		},
		registerListener(listener) {
			listeners.add(listener);
			return () => {
				listeners.delete(listener);
			};
		},
	};
}
