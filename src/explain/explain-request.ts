/** Joins what all processes wrote about one request, and about those that it met, to the story of its end. */
import {match, P} from 'ts-pattern';
import type {LogLine, LogValue} from './log-line.js';

/** What became of a request, and why. */
export type Explanation = Readonly<{
	request: string;
	/** Undefined when only a part of its lines is there. */
	outcome: string | undefined;
	/** Lines about the request, in order. */
	own: readonly LogLine[];
	/** Changes that processes saw meanwhile and that concern the request. */
	around: readonly LogLine[];
	/** What the lines say about the cause, the most direct first. */
	causes: readonly string[];
}>;

/** Time before and behind a request in which changes may concern it, in milliseconds; longer than a backend server's row lasts. */
const AROUND_MILLIS = 5000;
/** Skew from which on a map says that a group was uneven; the same figure as in docs/OPERATIONS.md. */
const UNEVEN_SKEW = 1.5;

/** Changes at the process that took the request. */
const OWN_CHANGES: ReadonlySet<string> = new Set([
	'configuration in force', 'lost the table', 'regained the table', 'stop signal', 'takes no streams any more', 'listens no more', 'started', 'heartbeat not written',
]);
/** Changes of a backend server, which matter for those that the request met. */
const SERVER_CHANGES: ReadonlySet<string> = new Set(['backend server', 'backend server avoided', 'backend server gone', 'entry names no backend server']);
/** Changes of rank groups, which all streams of a service may feel. */
const GROUP_CHANGES: ReadonlySet<string> = new Set(['map switch', 'map switch abandoned', 'fencing a map switch off', 'looked for a switch left behind']);

function byTime(left: LogLine, right: LogLine): number {
	return left.timeMillis - right.timeMillis || left.sequence - right.sequence;
}

/** Value as text; a value that a line lacks is shown as such. */
function show(value: LogValue | undefined): string {
	return value === undefined ? 'unknown' : String(value);
}

function listNames(value: LogValue | undefined): readonly string[] {
	return value === undefined ? [] : String(value).split(' ').filter(name => name !== '');
}

function listServers(own: readonly LogLine[]): ReadonlySet<string> {
	return new Set(own.flatMap(({values}) => [values.server, values.faultyServer, values.servers, values.asked].flatMap(value => listNames(value))));
}

function listAround(lines: readonly LogLine[], own: readonly LogLine[]): readonly LogLine[] {
	const [first] = own;
	const last = own.at(-1);
	if (!first || !last) {
		return [];
	}

	const elapsedMillis = Math.max(0, ...own.map(({values}) => Number(values.elapsedMillis ?? 0)));
	const fromMillis = first.timeMillis - elapsedMillis - AROUND_MILLIS;
	const toMillis = last.timeMillis + AROUND_MILLIS;
	const servers = listServers(own);
	return lines.filter(line => line.timeMillis >= fromMillis && line.timeMillis <= toMillis && (
		(line.instanceId === first.instanceId && OWN_CHANGES.has(line.message))
		|| (line.instanceId === first.instanceId && SERVER_CHANGES.has(line.message) && servers.has(String(line.values.server)))
		|| (GROUP_CHANGES.has(line.message) && own.some(({values}) => values.longestPauseMillis !== undefined || values.reason === 'overload'))
	)).toSorted(byTime);
}

function explainRefusal({values}: LogLine): readonly string[] {
	return match(values)
		.with({reason: 'overload'}, ({inFlight, limit, waiting, elapsedMillis}) => [
			`it waited ${show(elapsedMillis)} ms for a place: ${show(inFlight)} requests were in flight of ${show(limit)} allowed, ${show(waiting)} waited`,
		])
		.with({reason: 'stale_configuration'}, ({configurationAgeMillis}) => [
			`its route or credential was unknown, and the configuration had last been confirmed ${show(configurationAgeMillis)} ms before`,
		])
		.with({reason: 'no_configuration'}, () => ['the process knew no configuration yet'])
		.with({reason: 'no_backend_server'}, () => ['no backend server of its service was listed as ready'])
		.with({reason: 'refused_by_backend_server'}, ({asked}) => [`the backend servers asked (${show(asked)}) all refused it`])
		.with({reason: 'not_sent'}, ({asked}) => [`no connection to the backend servers asked (${show(asked)}) could be had`])
		.with({reason: 'deadline'}, ({deadlineMillis}) => [`its time of ${show(deadlineMillis)} ms was over before it was sent`])
		.with({reason: 'stopping'}, () => ['the process was stopping and took no streams any more'])
		.with({reason: 'late'}, ({deadlineMillis}) => [`it was under way when its time of ${show(deadlineMillis)} ms was over`])
		.with({outcome: 'bad_call'}, ({reason, version, configurationAgeMillis}) => [
			`the call itself was refused (${show(reason)}) by version ${show(version)} of the configuration, confirmed ${show(configurationAgeMillis)} ms before`,
		])
		.otherwise(() => []);
}

function explainAttempt({values}: LogLine): readonly string[] {
	const place = values.lastEventId === undefined ? '' : ` behind event ${show(values.lastEventId)}`;
	return match(values)
		.with({end: 'lost'}, ({server, detail, tookMillis}) => [`${show(server)} broke off after ${show(tookMillis)} ms${place}: ${show(detail)}; it may have run`])
		.with({end: 'late'}, ({server, tookMillis}) => [`${show(server)} had not finished after ${show(tookMillis)} ms${place}`])
		.with({end: 'not_sent'}, ({server, detail}) => [`${show(server)} could not be reached: ${show(detail)}`])
		.with({end: 'not_run', faultyServer: P.string}, ({server, faultyServer}) => [`${show(server)} refused because of ${show(faultyServer)}`])
		.with({end: 'not_run'}, ({server, status}) => [`${show(server)} refused with status ${show(status)}`])
		.with({end: 'answered'}, ({server, status}) => [`${show(server)} failed with status ${show(status)}`])
		.otherwise(() => []);
}

function explainLine(line: LogLine): readonly string[] {
	return match(line)
		.with({message: 'attempt failed'}, explainAttempt)
		.with({message: 'not repeated'}, ({values}) => [Number(values.attempts) < Number(values.maxAttempts)
			? 'the retry budget of the service was used up'
			: `all ${show(values.maxAttempts)} attempts that the route allows were made`])
		.with({message: 'refused'}, explainRefusal)
		.otherwise(() => []);
}

/** What a change says about a request that ended at `endMillis`; that a backend server has gone is seen only later. */
function explainChange(line: LogLine, endMillis: number): readonly string[] {
	const {values, instanceId, message, timeMillis} = line;
	if (timeMillis > endMillis && OWN_CHANGES.has(message)) {
		return [];
	}

	return match(line)
		.with({message: 'backend server gone'}, () => [`${show(values.server)} had gone: ${show(values.reason)}`])
		.with({message: 'backend server'}, () => values.state === 'ready' ? [] : [`${show(values.server)} was ${show(values.state)}`])
		.with({message: 'backend server avoided'}, () => [`${show(values.server)} had failed often: ${show(values.failures)}`])
		.with({message: 'lost the table'}, () => [`${instanceId} had lost the table ${show(values.table)}: ${show(values.detail)}`])
		.with({message: 'stop signal'}, () => [`${instanceId} was told to stop`])
		.with({message: 'started'}, () => [`${instanceId} had just started`])
		.with({message: 'map switch'}, () => Number(values.skewBefore) >= UNEVEN_SKEW
			? [`a group was uneven (skew ${Number(values.skewBefore).toFixed(2)}) at that time`]
			: [])
		.otherwise(() => []);
}

/** Explains a request from the lines of any number of processes; undefined when none is about it. */
export function explainRequest(request: string, lines: readonly LogLine[]): Explanation | undefined {
	const own = lines.filter(({values}) => values.request === request).toSorted(byTime);
	if (own.length === 0) {
		return undefined;
	}

	const around = listAround(lines, own);
	const ends = own.filter(({values}) => values.outcome !== undefined);
	const outcome = ends.at(-1)?.values.outcome;
	const causes = [...own.flatMap(line => explainLine(line)), ...around.flatMap(line => explainChange(line, own.at(-1)?.timeMillis ?? 0))];
	return {
		request, outcome: outcome === undefined ? undefined : show(outcome), own, around, causes: [...new Set(causes)],
	};
}
