/** Where the body of an answer ends (RFC 9112, section 6.3). */
import type {AnswerMetadata, RawHeaders} from '../ports/call-codec.js';

/** Head of an answer as the gateway got it. */
export type FramedHead = AnswerMetadata & Readonly<{
	/** Whether only the end of the connection ends the body. */
	isEndedByConnection: boolean;
}>;

/** Headers that tell where a body ends. */
const FRAMING_HEADERS: ReadonlySet<string> = new Set(['content-length', 'transfer-encoding']);

/** Final statuses whose answers have no body, whatever their headers say. */
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** Whether only the end of the connection ends the body, so that a cut answer looks like a whole one. */
export function isEndedByConnection(method: string, status: number, headers: RawHeaders): boolean {
	const isBodiless = method === 'HEAD' || BODILESS_STATUSES.has(status);
	return !isBodiless && !headers.some((name, i) => i % 2 === 0 && FRAMING_HEADERS.has(name.toLowerCase()));
}
