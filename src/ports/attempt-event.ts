import type {Data, End} from '../wire/generated/link.js';

/** What comes back for an attempt. */
export type AttemptEvent
	= | Readonly<{tag: 'accepted'}>
		| Readonly<{tag: 'data'; data: Data}>
		| Readonly<{tag: 'end'; end: End}>
	/** The attempt was not started and never will be. */
		| Readonly<{tag: 'refused'; reason: string; retryAfterMillis: number}>
	/** The attempt was started; no whole answer will follow. */
		| Readonly<{tag: 'broken'; reason: string}>
	/** The link ended; what became of the attempt is not known. */
		| Readonly<{tag: 'link_lost'}>
	/** Nobody on this side wants the outcome any more. */
		| Readonly<{tag: 'abandoned'}>;
