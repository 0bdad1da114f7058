/** Splits a stream of server-sent events into complete events. */
import {Buffer} from 'node:buffer';

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
	/** Returns the bytes after the last complete event. */
	rest: () => Uint8Array;
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

/** Offset just after the first blank line at or after `from`; -1 if there is none. */
function findEventEnd(bytes: Uint8Array, from: number): number {
	for (let feed = bytes.indexOf(LINE_FEED, from); feed !== -1; feed = bytes.indexOf(LINE_FEED, feed + 1)) {
		const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
		if (bytes[next] === LINE_FEED) {
			return next + 1;
		}
	}

	return -1;
}

/** Creates a splitter for a new stream. */
export function createEventSplitter(): EventSplitter {
	let unsplit: Uint8Array = new Uint8Array(0);

	return {
		push(piece) {
			unsplit = unsplit.length === 0 ? piece : Buffer.concat([unsplit, piece]);
			const events: StreamEvent[] = [];
			for (let end = findEventEnd(unsplit, 0); end !== -1; end = findEventEnd(unsplit, 0)) {
				const bytes = unsplit.subarray(0, end);
				events.push(readEvent(bytes));
				unsplit = unsplit.subarray(end);
			}

			return events;
		},
		rest: () => unsplit,
	};
}
