/** Cuts a server-sent event stream into whole events. */
import {Buffer} from 'node:buffer';

/** One whole event with the blank line that ends it. */
export type StreamEvent = Readonly<{
	/** Its id; undefined when it has none or when that is no whole number. */
	id: number | undefined;
	bytes: Uint8Array;
}>;

/** Collects pieces of a stream. */
export type EventSplitter = Readonly<{
	/** Events that are whole with this piece. */
	push: (piece: Uint8Array) => readonly StreamEvent[];
	/** Bytes behind the last whole event. */
	rest: () => Uint8Array;
}>;

const LINE_FEED = 0x0A;
const CARRIAGE_RETURN = 0x0D;
const ID_LINE = /^id:\s*(?<id>\d+)\s*$/mv;

function readEventId(bytes: Uint8Array): number | undefined {
	const id = ID_LINE.exec(Buffer.from(bytes).toString('latin1'))?.groups?.id;
	return id === undefined ? undefined : Number(id);
}

/** Position behind the first blank line at or after `from`; -1 when there is none. */
function findEventEnd(bytes: Uint8Array, from: number): number {
	for (let feed = bytes.indexOf(LINE_FEED, from); feed !== -1; feed = bytes.indexOf(LINE_FEED, feed + 1)) {
		const next = bytes[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
		if (bytes[next] === LINE_FEED) {
			return next + 1;
		}
	}

	return -1;
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
	let pending: Uint8Array = new Uint8Array(0);

	return {
		push(piece) {
			pending = pending.length === 0 ? piece : Buffer.concat([pending, piece]);
			const events: StreamEvent[] = [];
			for (let end = findEventEnd(pending, 0); end !== -1; end = findEventEnd(pending, 0)) {
				const bytes = pending.subarray(0, end);
				events.push({id: readEventId(bytes), bytes});
				pending = pending.subarray(end);
			}

			return events;
		},
		rest: () => pending,
	};
}
