import {open} from 'node:fs/promises';
import {describeError} from '../core/describe-error.js';
import {fail, succeed, type Result} from '../core/result.js';
import {parseLogLine, type LogLine} from './log-line.js';

/** Contents of log files; `unreadable` counts lines that are not log lines of a process. */
export type Logs = Readonly<{lines: readonly LogLine[]; unreadable: number}>;

/** Human-readable count of the skipped lines; empty when there are none. */
export function describeUnreadable({unreadable}: Logs): readonly string[] {
	return unreadable > 0 ? [`skipped ${unreadable} lines that are not log lines of a process`] : [];
}

/** Reads log files one after the other; the error names the file that cannot be read. */
export async function readLogs(files: readonly string[]): Promise<Result<Logs, string>> {
	if (files.length === 0) {
		return fail('name the files that hold the output of the processes');
	}

	const lines: LogLine[] = [];
	let unreadable = 0;
	for (const file of files) {
		try {
			// eslint-disable-next-line no-await-in-loop -- Reading one file at a time bounds the open files.
			const handle = await open(file);
			// eslint-disable-next-line no-await-in-loop -- As above.
			for await (const text of handle.readLines()) {
				const line = parseLogLine(text);
				if (line) {
					lines.push(line);
				} else {
					unreadable++;
				}
			}
		} catch (error) {
			return fail(`${file}: ${describeError(error)}`);
		}
	}

	return succeed({lines, unreadable});
}
