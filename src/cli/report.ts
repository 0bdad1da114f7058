import process from 'node:process';
import {match} from 'ts-pattern';
import {EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE} from '../daemon/exit-code.js';
import type {OperatorError} from './operator-client.js';

/** Output and exit code of a command. */
export type Report = Readonly<{
	/** Human-readable output. */
	lines: readonly string[];
	/** Machine-readable output, printed as JSON. */
	document: unknown;
	exitCode: number;
}>;

/** Prints a report and sets the exit code. Human-readable output goes to standard error when the command failed. */
export function printReport(report: Report, isJson: boolean): void {
	const text = isJson ? JSON.stringify(report.document) : report.lines.join('\n');
	const stream = report.exitCode === 0 || isJson ? process.stdout : process.stderr;
	stream.write(`${text}\n`);
	process.exitCode = report.exitCode;
}

/** Creates the report of an invalid argument or file. */
export function usageReport(line: string): Report {
	return {lines: [line], document: {outcome: 'bad_input', detail: line}, exitCode: EXIT_USAGE};
}

/** Creates the report of a failed request to an entry, with advice on what to do next. */
export function errorReport(err: OperatorError): Report {
	return match(err)
		.with({tag: 'bad_access'}, ({detail}) => usageReport(detail))
		.with({tag: 'unreachable'}, ({detail}) => ({
			lines: [`no entry can be reached: ${detail === '' ? 'no URL given' : detail}`, 'Name one that is up with --entry URL; nothing was changed.'],
			document: {outcome: 'unreachable', detail},
			exitCode: EXIT_UNREACHABLE,
		}))
		.with({tag: 'no_answer'}, ({detail}) => ({
			lines: [`request sent, but no valid answer received: ${detail}`, 'A change may be in force. Check with "pollenport status" before you try again.'],
			document: {outcome: 'unknown', detail},
			exitCode: EXIT_UNREACHABLE,
		}))
		.with({tag: 'refused'}, ({status, body}) => ({
			lines: [`the entry refused (HTTP ${status}): ${JSON.stringify(body)}`],
			document: body,
			exitCode: EXIT_REFUSED,
		}))
		.exhaustive();
}
