import type {Teardown} from './teardown.js';

/** Holder of one immutable snapshot. */
export type SnapshotStore<T> = {
	/** The snapshot in force. */
	readonly read: () => T;
	/** Replaces the snapshot by what `change` makes of it; listeners run when it is another value. */
	readonly update: (change: (snapshot: T) => T) => T;
	/** Calls `listener` after each change. */
	readonly registerListener: (listener: (snapshot: T, before: T) => void) => Teardown;
};

/** Creates a {@link SnapshotStore}. */
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
