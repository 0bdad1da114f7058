import type {Data, End} from '../wire/generated/link.js';

/** Event received for an attempt. */
export type AttemptEvent
	= | Readonly<{tag: 'accepted'}>
		| Readonly<{tag: 'data'; data: Data}>
		| Readonly<{tag: 'end'; end: End}>
		/** The attempt was not started and never will be. */
		| Readonly<{tag: 'refused'; reason: string; retryAfterMillis: number}>
		/** The attempt was started, but its answer will not be completed. */
		| Readonly<{tag: 'broken'; reason: string}>
		/** The link closed; the outcome of the attempt is not known. */
		| Readonly<{tag: 'link_lost'}>
		/** The outcome is no longer needed on this side. */
		| Readonly<{tag: 'abandoned'}>;
