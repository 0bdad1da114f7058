import process from 'node:process';
import {match} from 'ts-pattern';
import {EXIT_REFUSED, EXIT_UNREACHABLE, EXIT_USAGE} from '../daemon/exit-code.js';
import type {OperatorError} from './operator-client.js';

/** How the result of a command is shown. */
export type Report = Readonly<{
	/** For people. */
	lines: readonly string[];
	/** For programs. */
	document: unknown;
	exitCode: number;
}>;

/** Prints a report and sets the exit code. A failure of a command for people goes to standard error. */
export function printReport(report: Report, isJson: boolean): void {
	const text = isJson ? JSON.stringify(report.document) : report.lines.join('\n');
	const stream = report.exitCode === 0 || isJson ? process.stdout : process.stderr;
	stream.write(`${text}\n`);
	process.exitCode = report.exitCode;
}

/** A report of bad arguments or documents. */
export function usageReport(line: string): Report {
	return {lines: [line], document: {outcome: 'bad_input', detail: line}, exitCode: EXIT_USAGE};
}

/** A report of an entry's refusal or silence, with what to do next. */
export function errorReport(err: OperatorError): Report {
	return match(err)
		.with({tag: 'bad_access'}, ({detail}) => usageReport(detail))
		.with({tag: 'unreachable'}, ({detail}) => ({
			lines: [`no entry can be reached: ${detail === '' ? 'none given' : detail}`, 'Name one that is up with --entry URL; nothing was changed.'],
			document: {outcome: 'unreachable', detail},
			exitCode: EXIT_UNREACHABLE,
		}))
		.with({tag: 'no_answer'}, ({detail}) => ({
			lines: [`sent, but no answer came: ${detail}`, 'The change may be in force. Look with "pollenport status" before you try again.'],
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
