import {open} from 'node:fs/promises';
import {describeError} from '../core/describe-error.js';
import {fail, succeed, type Result} from '../core/result.js';
import {parseLogLine, type LogLine} from './log-line.js';

/** What files of log lines hold; `unreadable` counts what is no line of a process. */
export type Logs = Readonly<{lines: readonly LogLine[]; unreadable: number}>;

/** What people are told of the lines that were skipped, if any. */
export function describeUnreadable({unreadable}: Logs): readonly string[] {
	return unreadable > 0 ? [`${unreadable} lines are not of a process and were skipped`] : [];
}

/** Reads files one after the other; the error names the one that cannot be read. */
export async function readLogs(files: readonly string[]): Promise<Result<Logs, string>> {
	if (files.length === 0) {
		return fail('name the files that hold the output of the processes');
	}

	const lines: LogLine[] = [];
	let unreadable = 0;
	for (const file of files) {
		try {
			// eslint-disable-next-line no-await-in-loop -- One file after the other bounds what is open.
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
