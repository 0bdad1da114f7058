/** Writes an answer to a caller, and keeps what the caller has not read in small pieces, so that its progress can be seen. */
import type {ServerResponse} from 'node:http';
import type {RawHeaders} from '../ports/call-codec.js';
import type {CallReply} from './call.js';
import {MAX_WRITE_BYTES} from './gateway-constants.js';

/** Writer of an answer that knows what is still buffered. */
export type CallerReply = CallReply & Readonly<{
	readWrittenBytes: () => number;
	readBufferedBytes: () => number;
	/** Whether the answer has been handed over in full; its last bytes may not have been sent yet. */
	isEnded: () => boolean;
	/** Closes the connection with a reset, which also frees what the kernel holds for the caller. */
	reset: () => void;
}>;

export type CallerReplyOptions = Readonly<{
	/** Whether the connection is to be closed after the answer. */
	isLast: () => boolean;
	/** Called after bytes were handed over. */
	onWritten: (bytes: number) => void;
}>;

const hasLength = (headers: RawHeaders) => headers.some((name, i) => i % 2 === 0 && name.toLowerCase() === 'content-length');

/** Creates the writer of one answer. A body without a length is sent in chunks, so that the end of this process doesn't look like its end. */
export function createCallerReply(res: ServerResponse, {isLast, onWritten}: CallerReplyOptions): CallerReply {
	/** Whether only the end of the connection marks that of the body: for a caller of HTTP/1.0 and an answer without a length. */
	let endsWithConnection = false;
	const unwritten: Uint8Array[] = [];
	let unwrittenBytes = 0;
	let writtenBytes = 0;
	let isEnded = false;
	let resumers: ReadonlyArray<() => void> = [];
	res.sendDate = false;

	/** Writes until the connection takes no more. A write completes only when all its bytes have left, so small ones show the progress of the caller. */
	function flush(): void {
		while (unwritten[0] && !res.writableNeedDrain && !res.destroyed) {
			const [first] = unwritten;
			const piece = first.subarray(0, MAX_WRITE_BYTES);
			if (piece.length < first.length) {
				unwritten[0] = first.subarray(MAX_WRITE_BYTES);
			} else {
				unwritten.shift();
			}

			unwrittenBytes -= piece.length;
			res.write(piece);
		}

		if (unwritten.length === 0 && isEnded) {
			res.end();
		}
	}

	function needsDrain(): boolean {
		return unwritten.length > 0 || res.writableNeedDrain;
	}

	res.on('drain', () => {
		flush();
		if (!needsDrain()) {
			const waiting = resumers;
			resumers = [];
			for (const resume of waiting) {
				resume();
			}
		}
	});

	return {
		writeHead(status, headers) {
			if (isLast()) {
				res.shouldKeepAlive = false;
			}

			endsWithConnection = !res.useChunkedEncodingByDefault && !hasLength(headers);
			res.writeHead(status, [...headers]);
		},
		write(bytes) {
			writtenBytes += bytes.length;
			unwrittenBytes += bytes.length;
			unwritten.push(bytes);
			flush();
			onWritten(bytes.length);
		},
		needsDrain,
		onDrain(resume) {
			resumers = [...resumers, resume];
		},
		end() {
			isEnded = true;
			flush();
		},
		abort() {
			// An orderly close would look like the regular end of an unframed body. The reset discards what the caller has not read yet.
			if (endsWithConnection) {
				res.socket?.resetAndDestroy();
			}

			res.destroy();
		},
		reset() {
			res.socket?.resetAndDestroy();
			res.destroy();
		},
		areHeadersSent: () => res.headersSent,
		isEnded: () => isEnded,
		readWrittenBytes: () => writtenBytes,
		readBufferedBytes: () => unwrittenBytes + res.writableLength,
	};
}
