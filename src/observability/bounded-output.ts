/** Standard output for logs: written in the background, and never waited for. */
import process from 'node:process';
import sonicBoom from 'sonic-boom';

/** Bytes that are collected before they are written. */
const LEAST_WRITE_BYTES = 4096;
/** Longest time for which bytes are collected, in milliseconds. */
const FLUSH_MILLIS = 200;
/** Bytes that wait at most; what comes beyond is dropped. A few seconds of a loaded process. */
const MAX_WAITING_BYTES = 1_048_576;
const STANDARD_OUTPUT = 1;

/** Lines that were dropped because nobody read them in time. */
export type BoundedOutput = Readonly<{
	write: (line: string) => void;
	countDropped: () => number;
}>;

/** Opens the output; what waits is written when the process exits. */
export function openBoundedOutput(): BoundedOutput {
	const output = new sonicBoom.SonicBoom({
		fd: STANDARD_OUTPUT, sync: false, minLength: LEAST_WRITE_BYTES, maxLength: MAX_WAITING_BYTES, periodicFlush: FLUSH_MILLIS,
	});
	let dropped = 0;
	output.on('drop', () => {
		dropped++;
	});
	// A log that cannot be written must not end the process; what is lost counts as dropped.
	output.on('error', () => {
		dropped++;
	});
	process.on('exit', () => {
		try {
			output.flushSync();
		} catch {
			// Standard output is closed: there is nobody to tell.
		}
	});
	return {
		write(line) {
			output.write(`${line}\n`);
		},
		countDropped: () => dropped,
	};
}
