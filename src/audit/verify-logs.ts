/** What the log lines of all processes say of the promises. */
import {sum} from '../decisions/sum.js';
import type {LogLine} from '../explain/log-line.js';
import type {PromiseName, PromiseVerdict} from './audit-report.js';

/** What the lines say of one promise. */
export type LogFinding = PromiseVerdict & Readonly<{
	/** The lines that show a breach. */
	lines: readonly LogLine[];
}>;

/** The outcome for a set of lines. */
export type LogReport = Readonly<{
	lines: number;
	/** Lines about calls that went well and that processes left out under load. */
	leftOut: number;
	promises: readonly LogFinding[];
}>;

/** Time after which no new call may be sent to a backend server that leaves, in milliseconds; the platform's bound. */
const LEAVING_MILLIS = 2000;

/** Ends of an attempt behind which the call may have run. */
const MAY_HAVE_RUN: ReadonlySet<unknown> = new Set(['lost', 'late', 'answered', 'caller_left']);

function judge(name: PromiseName, checked: number, what: string, breaches: readonly LogLine[]): LogFinding {
	if (checked === 0) {
		return {
			name, verdict: 'not_shown', detail: `no ${what} in these lines`, lines: [],
		};
	}

	return {
		name, verdict: breaches.length > 0 ? 'broken' : 'held', detail: `${checked} ${what}, ${breaches.length} against it`, lines: breaches,
	};
}

function checkNotRun(lines: readonly LogLine[]): LogFinding {
	const mayHaveRun = new Set(lines.filter(({message, values}) => message === 'attempt failed' && MAY_HAVE_RUN.has(values.end)).map(({values}) => values.request));
	const refusals = lines.filter(({message, values}) => message === 'refused' && values.outcome === 'not_run' && values.request !== undefined);
	return judge('not_run_is_true', refusals.length, 'refusals as not run', refusals.filter(({values}) => mayHaveRun.has(values.request)));
}

/** Attempts that more than one gateway ended, or one gateway more than once. */
function checkOneEnd(lines: readonly LogLine[]): LogFinding {
	const ends = new Map<unknown, LogLine>();
	const breaches: LogLine[] = [];
	for (const line of lines.filter(({message}) => message === 'call')) {
		if (ends.has(line.values.request)) {
			breaches.push(line);
		}

		ends.set(line.values.request, line);
	}

	return judge('at_most_once', ends.size, 'attempts with an end', breaches);
}

function checkVersions(lines: readonly LogLine[]): LogFinding {
	const versions = lines.filter(({message}) => message === 'configuration in force');
	const breaches = versions.filter(({values}) => typeof values.former === 'number' && Number(values.version) <= values.former);
	return judge('configuration_never_reverts', versions.length, 'changes of configuration', breaches);
}

/** Calls whose only backend server was known to leave well before the call was sent. */
function checkLeaving(lines: readonly LogLine[]): LogFinding {
	const changes = lines.filter(({message}) => message === 'backend server' || message === 'backend server gone');
	const leftAt = new Map<string, number>();
	const breaches: LogLine[] = [];
	let leaves = 0;
	for (const line of [...changes, ...lines.filter(({message}) => message === 'call')].toSorted((left, right) => left.timeMillis - right.timeMillis)) {
		const {message, values, incarnation, timeMillis} = line;
		if (message === 'call') {
			const sentAtMillis = timeMillis - Number(values.elapsedMillis);
			const leftAtMillis = leftAt.get(`${incarnation} ${values.servers}`);
			if (leftAtMillis !== undefined && sentAtMillis > leftAtMillis + LEAVING_MILLIS) {
				breaches.push(line);
			}
		} else if (message === 'backend server' && values.state === 'ready') {
			leftAt.delete(`${incarnation} ${values.server}`);
		} else {
			leaves++;
			leftAt.set(`${incarnation} ${values.server}`, timeMillis);
		}
	}

	return judge('leaving_gets_no_new_work', leaves, 'times that a process saw a backend server leave', breaches);
}

function checkMaps(lines: readonly LogLine[]): LogFinding {
	const switched = lines.filter(({message, values}) => message === 'map switch' && values.outcome === 'switched');
	const seen = new Set<unknown>();
	const breaches = switched.filter(({values}) => {
		const isKnown = seen.has(values.version);
		seen.add(values.version);
		return isKnown;
	});
	return judge('one_expert_map_per_step', switched.length, 'switches of an expert map, each with a version of its own', breaches);
}

function checkStops(lines: readonly LogLine[]): LogFinding {
	const stops = lines.filter(({message}) => message === 'stopped');
	return judge('stop_cuts_nothing_off', stops.length, 'stops', stops.filter(({values}) => Number(values.cutOff) > 0));
}

/** Verifies what lines of any processes show. What they do not show is said so; a process that was killed wrote no end. */
export function verifyLogs(lines: readonly LogLine[]): LogReport {
	const leftOut = sum(lines.map(({values}) => Number(values.leftOut ?? 0)));
	return {
		lines: lines.length,
		leftOut,
		promises: [checkNotRun(lines), checkOneEnd(lines), checkVersions(lines), checkLeaving(lines), checkMaps(lines), checkStops(lines)],
	};
}
