/** Asynchronous standard output for logs: a write never blocks, and lines beyond the buffer are dropped. */
import process from 'node:process';
import sonicBoom from 'sonic-boom';

/** Bytes that are buffered before they are written. */
const MIN_WRITE_BYTES = 4096;
/** Longest time for which bytes are buffered, in milliseconds. */
const FLUSH_INTERVAL_MILLIS = 200;
/** Size of the buffer, which holds the output of a few seconds under load; lines that exceed it are dropped. */
const MAX_BUFFERED_BYTES = 1_048_576;
const STDOUT_FD = 1;

export type BoundedOutput = Readonly<{
	write: (line: string) => void;
	/** Number of lines dropped because the reader of the output was too slow, plus the number of write errors. */
	countDropped: () => number;
}>;

/** Opens the output; buffered lines are flushed when the process exits. */
export function openBoundedOutput(): BoundedOutput {
	const output = new sonicBoom.SonicBoom({
		fd: STDOUT_FD, sync: false, minLength: MIN_WRITE_BYTES, maxLength: MAX_BUFFERED_BYTES, periodicFlush: FLUSH_INTERVAL_MILLIS,
	});
	let dropped = 0;
	output.on('drop', () => {
		dropped++;
	});
	// A failed write of the log must not end the process; it counts as dropped.
	output.on('error', () => {
		dropped++;
	});
	process.on('exit', () => {
		try {
			output.flushSync();
		} catch {
			// Standard output is closed, so the error cannot be reported.
		}
	});
	return {
		write(line) {
			output.write(`${line}\n`);
		},
		countDropped: () => dropped,
	};
}
