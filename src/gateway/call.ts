import type {CallMetadata, RawHeaders} from '../ports/call-codec.js';

/** A caller's request, with its body read completely. */
export type Call = Readonly<{
	method: string;
	/** Path and query string as received. */
	path: string;
	host: string;
	headers: RawHeaders;
	head: CallMetadata;
	body: Uint8Array;
	/** Monotonic time at which the request arrived. */
	arrivedAtMillis: number;
	reply: CallReply;
	/** Aborted when the caller disconnects before its answer is complete. */
	disconnectSignal: AbortSignal;
}>;

/** Writer of the answer to the caller. */
export type CallReply = Readonly<{
	writeHead: (status: number, headers: RawHeaders) => void;
	write: (bytes: Uint8Array) => void;
	/** Whether the write buffer is full because the caller reads too slowly; `onDrain` calls back once it has drained. */
	needsDrain: () => boolean;
	onDrain: (resume: () => void) => void;
	/** Completes the answer. */
	end: () => void;
	/** Closes the connection in a way that marks the answer as incomplete. */
	abort: () => void;
	areHeadersSent: () => boolean;
}>;
