/** Bounds the bytes that a process buffers for callers that read slowly. */
import type {Clock} from '../core/clock.js';
import type {Teardown} from '../core/teardown.js';
import {chooseReadersToGiveUp, type GivenUpReader, type Reader} from '../decisions/flow/slow-readers.js';
import {sum} from '../decisions/sum.js';
import {MAX_READER_STALL_MILLIS, READER_CHECK_INTERVAL_MILLIS} from './gateway-constants.js';

/** An open answer as the bound sees it. */
export type BufferedReply = Readonly<{
	/** Bytes of the body that were handed over so far. */
	readWrittenBytes: () => number;
	/** Bytes that still wait in this process. */
	readBufferedBytes: () => number;
	/** Closes the connection; the answer must not look complete. */
	giveUp: (givenUp: GivenUpReader) => void;
}>;

/** The open answers of a process. */
export type ReplyBuffers = Readonly<{
	/** Adds an answer; the returned function removes it. */
	add: (reply: BufferedReply) => Teardown;
	/** Notes that bytes were handed over to an answer, and enforces the bound. */
	noteWritten: (bytes: number) => void;
	/** Updates how long each caller has read nothing, and gives up those that are too slow. */
	check: () => void;
	readBufferedBytes: () => number;
}>;

type OpenReply = {
	readonly reply: BufferedReply;
	/** Bytes that had left the process at the last look; lower than the truth by the bytes of headers and framing. */
	flushedBytes: number;
	observedAtMillis: number;
	stalledMillis: number;
};

/** Creates the bound; `maxBytes` is the most that all answers together may buffer. */
export function createReplyBuffers({clock, maxBytes}: Readonly<{clock: Clock; maxBytes: number}>): ReplyBuffers {
	const open = new Map<number, OpenReply>();
	let nextId = 0;
	/** At least as many bytes as are buffered; written ones are added at once, and read ones subtracted at the next look. */
	let countedBytes = 0;

	/** Updates the stall of an answer. A look counts for a limited time, as callers may have read while this process was frozen. */
	function observe(id: number, item: OpenReply): Reader {
		const nowMillis = clock.monotonicMillis();
		const bufferedBytes = item.reply.readBufferedBytes();
		const flushedBytes = item.reply.readWrittenBytes() - bufferedBytes;
		const hasRead = bufferedBytes === 0 || flushedBytes > item.flushedBytes;
		item.stalledMillis = hasRead ? 0 : item.stalledMillis + Math.min(nowMillis - item.observedAtMillis, 2 * READER_CHECK_INTERVAL_MILLIS);
		item.flushedBytes = flushedBytes;
		item.observedAtMillis = nowMillis;
		return {id, bufferedBytes, stalledMillis: item.stalledMillis};
	}

	function check(): void {
		const readers = [...open].map(([id, item]) => observe(id, item));
		const givenUp = chooseReadersToGiveUp(readers, {maxBytes, maxStallMillis: MAX_READER_STALL_MILLIS});
		countedBytes = sum(readers.map(({bufferedBytes}) => bufferedBytes)) - sum(givenUp.map(({reader}) => reader.bufferedBytes));
		for (const item of givenUp) {
			const {reply} = open.get(item.reader.id) ?? {};
			open.delete(item.reader.id);
			reply?.giveUp(item);
		}
	}

	return {
		add(reply) {
			const id = nextId++;
			open.set(id, {
				reply, flushedBytes: 0, observedAtMillis: clock.monotonicMillis(), stalledMillis: 0,
			});
			return () => {
				open.delete(id);
			};
		},
		noteWritten(bytes) {
			countedBytes += bytes;
			if (countedBytes > maxBytes) {
				check();
			}
		},
		check,
		readBufferedBytes: () => sum([...open.values()].map(({reply}) => reply.readBufferedBytes())),
	};
}
