import {defineCommand} from 'citty';
import {EXIT_OK, EXIT_REFUSED} from '../../daemon/exit-code.js';
import {explainRequest, type Explanation} from '../../explain/explain-request.js';
import type {LogLine} from '../../explain/log-line.js';
import {describeUnreadable, readLogs} from '../../explain/read-logs.js';
import {printReport, usageReport, type Report} from '../report.js';

function describeLine({timeMillis, instanceId, message, values}: LogLine, startMillis: number): string {
	const shown = Object.entries(values).filter(([name]) => name !== 'request').map(([name, value]) => `${name}=${String(value)}`);
	return `  ${String(Math.round(timeMillis - startMillis)).padStart(6)} ms  ${instanceId}  ${message}  ${shown.join(' ')}`;
}

function describeExplanation({request, outcome, own, around, causes}: Explanation): readonly string[] {
	const startMillis = own[0]?.timeMillis ?? 0;
	return [
		`request ${request}: ${outcome ?? 'no line tells its outcome'}`,
		...own.map(line => describeLine(line, startMillis)),
		...(around.length > 0 ? ['changes at that time:', ...around.map(line => describeLine(line, startMillis))] : []),
		causes.length > 0 ? 'causes, those from its own lines first:' : 'no cause of a failure found in these lines',
		...causes.map(cause => `  ${cause}`),
	];
}

async function explain(request: string, files: readonly string[]): Promise<Report> {
	const logs = await readLogs(files);
	if (!logs.ok) {
		return usageReport(logs.error);
	}

	const {lines, unreadable} = logs.value;
	const skippedLines = describeUnreadable(logs.value);
	const explanation = explainRequest(request, lines);
	return explanation
		? {lines: [...describeExplanation(explanation), ...skippedLines], document: {...explanation, unreadable}, exitCode: EXIT_OK}
		: {
			lines: [`no line of ${lines.length} is about request ${request}`, 'The line of a successful call may have been omitted under load; that of a refused one never is.', ...skippedLines],
			document: {
				outcome: 'not_found', request, lines: lines.length, unreadable,
			},
			exitCode: EXIT_REFUSED,
		};
}

/** `pollenport explain` */
export const explainCommand = defineCommand({
	meta: {name: 'explain', description: 'Show the outcome of a request and its causes from the log lines of all processes'},
	args: {
		request: {
			type: 'positional', description: 'Id that the caller gave its attempt', required: true, valueHint: 'ID',
		},
		json: {type: 'boolean', description: 'Print one JSON document', default: false},
	},
	async run({args}) {
		// The arguments after the id are the log files.
		printReport(await explain(args.request, args._.slice(1).map(String)), args.json);
	},
});
