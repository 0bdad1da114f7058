import type {Result} from '../core/result.js';

/** Failure of a call to the object store. */
export type ObjectError
	= | Readonly<{tag: 'exists'}>
		| Readonly<{tag: 'unavailable'; detail: string}>
		/** No reply arrived; a write may have taken effect. */
		| Readonly<{tag: 'reply_lost'; detail: string}>;

/** The platform's object store. Objects are written once and never changed. */
export type ObjectStore = {
	/** Writes an object that must not exist yet. */
	readonly create: (key: string, bytes: Uint8Array) => Promise<Result<void, ObjectError>>;
	readonly read: (key: string) => Promise<Result<Uint8Array | undefined, ObjectError>>;
	/** Keys that begin with `prefix`, in order. */
	readonly list: (prefix: string) => Promise<Result<readonly string[], ObjectError>>;
};
