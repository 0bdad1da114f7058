/** Collects the log lines of all processes that concern one request, and derives the causes of its outcome. */
import {match, P} from 'ts-pattern';
import type {LogLine, LogValue} from './log-line.js';

/** Outcome of a request, and its causes. */
export type Explanation = Readonly<{
	request: string;
	/** Undefined when none of the lines states the outcome. */
	outcome: string | undefined;
	/** Lines about the request, in order of time. */
	own: readonly LogLine[];
	/** Lines about changes near the time of the request that may have affected it. */
	around: readonly LogLine[];
	/** Causes derived from the lines, the most direct first. */
	causes: readonly string[];
}>;

/** Time before and after a request in which changes may have affected it, in milliseconds; longer than the lifetime of a backend server's row. */
const RELATED_WINDOW_MILLIS = 5000;
/** Smallest skew at which a rank group counts as uneven; the same figure as in docs/OPERATIONS.md. */
const MIN_UNEVEN_SKEW = 1.5;

/** Messages about changes that matter only at the process that accepted the request. */
const PROCESS_CHANGES: ReadonlySet<string> = new Set([
	'configuration in force', 'lost the table', 'regained the table', 'stop signal', 'takes no streams any more', 'listens no more', 'started', 'heartbeat not written',
]);
/** Messages about changes of a backend server, which matter only for servers to which the request was sent. */
const SERVER_CHANGES: ReadonlySet<string> = new Set([
	'backend server', 'backend server avoided', 'backend server gone', 'backend server leaving', 'backend server pause', 'entry names no backend server',
]);
/** Messages about changes of rank groups, which may slow all streams of a service. */
const GROUP_CHANGES: ReadonlySet<string> = new Set(['map switch', 'map switch abandoned', 'fencing a map switch off', 'looked for a switch left behind']);

function compareByTime(left: LogLine, right: LogLine): number {
	return left.timeMillis - right.timeMillis || left.sequence - right.sequence;
}

/** Formats a value; one that the line lacks becomes `unknown`. */
function formatValue(value: LogValue | undefined): string {
	return value === undefined ? 'unknown' : String(value);
}

function splitNames(value: LogValue | undefined): readonly string[] {
	return value === undefined ? [] : String(value).split(' ').filter(name => name !== '');
}

function listServers(requestLines: readonly LogLine[]): ReadonlySet<string> {
	return new Set(requestLines.flatMap(({values}) => [values.server, values.faultyServer, values.servers, values.asked].flatMap(value => splitNames(value))));
}

function listRelatedChanges(lines: readonly LogLine[], requestLines: readonly LogLine[]): readonly LogLine[] {
	const [first] = requestLines;
	const last = requestLines.at(-1);
	if (!first || !last) {
		return [];
	}

	const elapsedMillis = Math.max(0, ...requestLines.map(({values}) => Number(values.elapsedMillis ?? 0)));
	const fromMillis = first.timeMillis - elapsedMillis - RELATED_WINDOW_MILLIS;
	const toMillis = last.timeMillis + RELATED_WINDOW_MILLIS;
	const servers = listServers(requestLines);
	return lines.filter(line => line.timeMillis >= fromMillis && line.timeMillis <= toMillis && (
		(line.instanceId === first.instanceId && PROCESS_CHANGES.has(line.message))
		|| (line.instanceId === first.instanceId && SERVER_CHANGES.has(line.message) && servers.has(String(line.values.server)))
		|| (GROUP_CHANGES.has(line.message) && requestLines.some(({values}) => values.longestPauseMillis !== undefined || values.reason === 'overload'))
	)).toSorted(compareByTime);
}

function explainRefusal({values}: LogLine): readonly string[] {
	return match(values)
		.with({reason: 'overload'}, ({inFlight, limit, waiting, elapsedMillis}) => [
			`it waited ${formatValue(elapsedMillis)} ms for a place: ${formatValue(inFlight)} requests were in flight of ${formatValue(limit)} allowed, ${formatValue(waiting)} waited`,
		])
		.with({reason: 'stale_configuration'}, ({configurationAgeMillis}) => [
			`its route or credential was unknown, and the configuration had last been confirmed ${formatValue(configurationAgeMillis)} ms before`,
		])
		.with({parts: P.string}, ({parts, crashed}) => [
			`its prompt has the parts ${parts}, on which ${formatValue(crashed)} crashed before they had answered`,
		])
		.with({fingerprint: P.string}, ({fingerprint, crashed}) => [
			`it was sent before, as the same request (${fingerprint}), and ${formatValue(crashed)} crashed before they had answered it`,
		])
		.with({reason: 'no_configuration'}, () => ['the process knew no configuration yet'])
		.with({reason: 'no_backend_server'}, () => ['no backend server of its service was listed as ready'])
		.with({reason: 'refused_by_backend_server'}, ({asked}) => [`the backend servers asked (${formatValue(asked)}) all refused it`])
		.with({reason: 'not_sent'}, ({asked}) => [`no connection to the backend servers asked (${formatValue(asked)}) could be had`])
		.with({reason: 'deadline'}, ({deadlineMillis}) => [`its time of ${formatValue(deadlineMillis)} ms was over before it was sent`])
		.with({reason: 'stopping'}, () => ['the process was stopping and took no streams any more'])
		.with({reason: 'late'}, ({deadlineMillis}) => [`it was under way when its time of ${formatValue(deadlineMillis)} ms was over`])
		.with({reason: 'slow_reader'}, ({heldBytes, stalledMillis}) => [
			`its caller had read nothing for ${formatValue(stalledMillis)} ms, with ${formatValue(heldBytes)} bytes buffered for it`,
		])
		.with({outcome: 'bad_call'}, ({reason, version, configurationAgeMillis}) => [
			`the call itself was refused (${formatValue(reason)}) by version ${formatValue(version)} of the configuration, confirmed ${formatValue(configurationAgeMillis)} ms before`,
		])
		.otherwise(() => []);
}

function explainAttempt({values}: LogLine): readonly string[] {
	const position = values.lastEventId === undefined ? '' : ` behind event ${formatValue(values.lastEventId)}`;
	return match(values)
		.with({end: 'lost'}, ({server, detail, tookMillis}) => [`${formatValue(server)} broke off after ${formatValue(tookMillis)} ms${position}: ${formatValue(detail)}; it may have run`])
		.with({end: 'late'}, ({server, tookMillis}) => [`${formatValue(server)} had not finished after ${formatValue(tookMillis)} ms${position}`])
		.with({end: 'not_sent'}, ({server, detail}) => [`${formatValue(server)} could not be reached: ${formatValue(detail)}`])
		.with({end: 'not_run', faultyServer: P.string}, ({server, faultyServer}) => [`${formatValue(server)} refused because of ${formatValue(faultyServer)}`])
		.with({end: 'not_run'}, ({server, status}) => [`${formatValue(server)} refused with status ${formatValue(status)}`])
		.with({end: 'answered'}, ({server, status}) => [`${formatValue(server)} failed with status ${formatValue(status)}`])
		.otherwise(() => []);
}

function explainLine(line: LogLine): readonly string[] {
	return match(line)
		.with({message: 'attempt failed'}, explainAttempt)
		.with({message: 'not repeated'}, ({values}) => [Number(values.attempts) < Number(values.maxAttempts)
			? 'the retry budget of the service was used up'
			: `all ${formatValue(values.maxAttempts)} attempts that the route allows were made`])
		.with({message: 'request lost in a crash'}, ({values}) => [`${formatValue(values.server)} crashed before it had answered`])
		.with({message: 'refused'}, explainRefusal)
		.otherwise(() => []);
}

/**
 * Causes that a change adds to a request that ended at `endMillis`. Changes of the process count only up to that time; those of
 * backend servers and rank groups count after it as well, because a process detects the loss of a backend server with a delay.
 */
function explainChange(line: LogLine, endMillis: number): readonly string[] {
	const {values, instanceId, message, timeMillis} = line;
	if (timeMillis > endMillis && PROCESS_CHANGES.has(message)) {
		return [];
	}

	return match(line)
		.with({message: 'backend server gone'}, () => [`${formatValue(values.server)} had gone: ${formatValue(values.reason)}`])
		.with({message: 'backend server'}, () => values.state === 'ready' ? [] : [`${formatValue(values.server)} was ${formatValue(values.state)}`])
		.with({message: 'backend server avoided'}, () => [`${formatValue(values.server)} had failed often: ${formatValue(values.failures)}`])
		.with({message: 'lost the table'}, () => [`${instanceId} had lost the table ${formatValue(values.table)}: ${formatValue(values.detail)}`])
		.with({message: 'stop signal'}, () => [`${instanceId} was told to stop`])
		.with({message: 'started'}, () => [`${instanceId} had just started`])
		.with({message: 'map switch'}, () => Number(values.skewBefore) >= MIN_UNEVEN_SKEW
			? [`a group was uneven (skew ${Number(values.skewBefore).toFixed(2)}) at that time`]
			: [])
		.otherwise(() => []);
}

/** Explains a request from the lines of any number of processes; undefined when no line is about it. */
export function explainRequest(request: string, lines: readonly LogLine[]): Explanation | undefined {
	const requestLines = lines.filter(({values}) => values.request === request).toSorted(compareByTime);
	if (requestLines.length === 0) {
		return undefined;
	}

	const relatedChanges = listRelatedChanges(lines, requestLines);
	const outcomeLines = requestLines.filter(({values}) => values.outcome !== undefined);
	const outcome = outcomeLines.at(-1)?.values.outcome;
	const causes = [...requestLines.flatMap(line => explainLine(line)), ...relatedChanges.flatMap(line => explainChange(line, requestLines.at(-1)?.timeMillis ?? 0))];
	return {
		request, outcome: outcome === undefined ? undefined : formatValue(outcome), own: requestLines, around: relatedChanges, causes: [...new Set(causes)],
	};
}
