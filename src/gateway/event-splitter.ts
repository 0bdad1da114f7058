/** Splits a stream of server-sent events into complete events. */
import {Buffer} from 'node:buffer';
import {createByteCollector} from '../core/byte-collector.js';

/** One complete event, including the blank line that terminates it. */
export type StreamEvent = Readonly<{
	/** Event id; undefined if it is missing or not an integer. */
	id: number | undefined;
	/** Whether it has only comment lines, which callers ignore. */
	isComment: boolean;
	bytes: Uint8Array;
}>;

/** Incremental splitter of one stream. */
export type EventSplitter = Readonly<{
	/** Returns the events that are complete after this chunk. */
	push: (piece: Uint8Array) => readonly StreamEvent[];
	/** Number of bytes after the last complete event. */
	countUnfinishedBytes: () => number;
	/** Returns the bytes after the last complete event; nothing may be pushed afterwards. */
	takeRest: () => Uint8Array;
}>;

export const LINE_FEED = 0x0A;
export const CARRIAGE_RETURN = 0x0D;
const ID_LINE = /^id:\s*(?<id>\d+)\s*$/mv;

/** Matches an event of which each line is empty or a comment. */
const COMMENT_LINES = /^(?:(?::.*)?\r?\n)*$/v;

function readEvent(bytes: Uint8Array): StreamEvent {
	const text = Buffer.from(bytes).toString('latin1');
	const id = ID_LINE.exec(text)?.groups?.id;
	return {id: id === undefined ? undefined : Number(id), isComment: id === undefined && COMMENT_LINES.test(text), bytes};
}

/** What the bytes scanned so far may be the beginning of. */
type ScanState = 'in_line' | 'after_line_feed' | 'after_carriage_return';

/** State behind a byte that follows a line feed and does not end a blank line. */
function scanLineStart(byte: number | undefined, state: ScanState): ScanState {
	return byte === CARRIAGE_RETURN && state === 'after_line_feed' ? 'after_carriage_return' : 'in_line';
}

/** Creates a splitter for a new stream. Each byte is scanned once. */
export function createEventSplitter(): EventSplitter {
	const unfinished = createByteCollector();
	let state: ScanState = 'in_line';

	/** Offset behind the next blank line at or after `from`; -1 if the event does not end in this piece. */
	function findEventEnd(piece: Uint8Array, from: number): number {
		for (let i = from; i < piece.length; i++) {
			if (state === 'in_line') {
				i = piece.indexOf(LINE_FEED, i);
				if (i === -1) {
					return -1;
				}

				state = 'after_line_feed';
			} else if (piece[i] === LINE_FEED) {
				state = 'in_line';
				return i + 1;
			} else {
				state = scanLineStart(piece[i], state);
			}
		}

		return -1;
	}

	return {
		push(piece) {
			const events: StreamEvent[] = [];
			let start = 0;
			for (let end = findEventEnd(piece, 0); end !== -1; end = findEventEnd(piece, start)) {
				unfinished.append(piece.subarray(start, end));
				events.push(readEvent(unfinished.take()));
				start = end;
			}

			unfinished.append(piece.subarray(start));
			return events;
		},
		countUnfinishedBytes: unfinished.size,
		takeRest: unfinished.take,
	};
}
