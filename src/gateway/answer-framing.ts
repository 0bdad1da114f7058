/** Determines how the end of a response body is signalled (RFC 9112, section 6.3). */
import type {AnswerMetadata, RawHeaders} from '../ports/call-codec.js';

/** Parsed answer headers together with how the body is framed. */
export type FramedHead = AnswerMetadata & Readonly<{
	/** Whether the body ends only when the connection is closed. */
	isEndedByConnection: boolean;
}>;

/** Headers that define the length of a body. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/** Final status codes that never have a body, whatever the headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether the body ends only when the connection is closed, so that a truncated answer looks complete. */
export function isEndedByConnection(method: string, status: number, headers: RawHeaders): boolean {
	const isBodiless = method === 'HEAD' || BODILESS_STATUSES.has(status);
	return !isBodiless && !headers.some((name, i) => i % 2 === 0 && FRAMING_HEADERS.has(name.toLowerCase()));
}
