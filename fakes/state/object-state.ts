import {fail, succeed, type Result} from '../../src/core/result.js';

/** Objects of the object store. */
export type ObjectState = {
	readonly create: (key: string, bytes: Uint8Array) => Result<void, Readonly<{tag: 'exists'}>>;
	readonly read: (key: string) => Uint8Array | undefined;
	readonly list: (prefix: string) => readonly string[];
	/** Replaces or removes an object, which the store's own operations never do; for tests of the audit. */
	readonly tamper: (key: string, bytes: Uint8Array | undefined) => void;
	readonly clear: () => void;
};

/** Creates an empty object store. */
export function createObjectState(): ObjectState {
	const objects = new Map<string, Uint8Array>();
	return {
		create(key, bytes) {
			if (objects.has(key)) {
				return fail({tag: 'exists'});
			}

			objects.set(key, Uint8Array.from(bytes));
			return succeed(undefined);
		},
		read: key => objects.get(key),
		list: prefix => [...objects.keys()].filter(key => key.startsWith(prefix)).toSorted(),
		tamper(key, bytes) {
			if (bytes === undefined) {
				objects.delete(key);
				return;
			}

			objects.set(key, Uint8Array.from(bytes));
		},
		clear() {
			objects.clear();
		},
	};
}
