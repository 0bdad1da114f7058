import type {CallMetadata, RawHeaders} from '../ports/call-codec.js';

/** A caller's request, read as a whole. */
export type Call = Readonly<{
	method: string;
	/** Path and query as they came. */
	path: string;
	host: string;
	headers: RawHeaders;
	head: CallMetadata;
	body: Uint8Array;
	/** Monotonic time of its arrival. */
	arrivedAtMillis: number;
	reply: CallReply;
	/** Aborts when the caller has left. */
	disconnectSignal: AbortSignal;
}>;

/** The way back to the caller. */
export type CallReply = Readonly<{
	/** `isEndedByConnection` leaves the end of the body to that of the connection, for an answer of which no more is known. */
	writeHead: (status: number, headers: RawHeaders, isEndedByConnection?: boolean) => void;
	write: (bytes: Uint8Array) => void;
	/** Whether the caller reads more slowly than bytes come; `onDrain` tells when it has caught up. */
	needsDrain: () => boolean;
	onDrain: (resume: () => void) => void;
	/** Ends the answer as complete. */
	end: () => void;
	/** Closes the connection, so that the answer does not look complete. */
	abort: () => void;
	areHeadersSent: () => boolean;
}>;
