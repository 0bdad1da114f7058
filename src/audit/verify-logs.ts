/** Checks the promises against the log lines of all processes. */
import {sum} from '../decisions/sum.js';
import type {LogLine} from '../explain/log-line.js';
import type {PromiseName, PromiseVerdict} from './audit-report.js';

/** Verdict on one promise from the log lines. */
export type LogFinding = PromiseVerdict & Readonly<{
	/** The lines that show a breach. */
	lines: readonly LogLine[];
}>;

/** Result of verifying a set of lines. */
export type LogReport = Readonly<{
	lines: number;
	/** Lines about successful calls that processes omitted under load. */
	leftOut: number;
	promises: readonly LogFinding[];
}>;

/** Time after which no new call may be sent to a leaving backend server, in milliseconds; the bound that the platform sets. */
const LEAVING_GRACE_MILLIS = 2000;

/** Values of `end` of a failed attempt after which the call may have run. */
const POSSIBLY_RUN_ENDS: ReadonlySet<unknown> = new Set(['lost', 'late', 'answered', 'caller_left']);

function deriveVerdict(name: PromiseName, checkedCount: number, label: string, breaches: readonly LogLine[]): LogFinding {
	if (checkedCount === 0) {
		return {
			name, verdict: 'not_shown', detail: `no ${label} in these lines`, lines: [],
		};
	}

	return {
		name, verdict: breaches.length > 0 ? 'broken' : 'held', detail: `${checkedCount} ${label}, ${breaches.length} against it`, lines: breaches,
	};
}

function checkNotRun(lines: readonly LogLine[]): LogFinding {
	const possiblyRunRequests = new Set(lines.filter(({message, values}) => message === 'attempt failed' && POSSIBLY_RUN_ENDS.has(values.end)).map(({values}) => values.request));
	const refusals = lines.filter(({message, values}) => message === 'refused' && values.outcome === 'not_run' && values.request !== undefined);
	return deriveVerdict('not_run_is_true', refusals.length, 'refusals as not run', refusals.filter(({values}) => possiblyRunRequests.has(values.request)));
}

/** Finds requests for which an end was logged more than once, by one gateway or by several. */
function checkAtMostOnce(lines: readonly LogLine[]): LogFinding {
	const callsByRequest = new Map<unknown, LogLine>();
	const breaches: LogLine[] = [];
	for (const line of lines.filter(({message}) => message === 'call')) {
		if (callsByRequest.has(line.values.request)) {
			breaches.push(line);
		}

		callsByRequest.set(line.values.request, line);
	}

	return deriveVerdict('at_most_once', callsByRequest.size, 'attempts with an end', breaches);
}

function checkConfiguration(lines: readonly LogLine[]): LogFinding {
	const versions = lines.filter(({message}) => message === 'configuration in force');
	const breaches = versions.filter(({values}) => typeof values.former === 'number' && Number(values.version) <= values.former);
	return deriveVerdict('configuration_never_reverts', versions.length, 'changes of configuration', breaches);
}

/** Finds calls with a single backend server that the process knew to be leaving for longer than the grace time when it sent the call. */
function checkLeaving(lines: readonly LogLine[]): LogFinding {
	const changes = lines.filter(({message}) => message === 'backend server' || message === 'backend server gone');
	const leavingSince = new Map<string, number>();
	const breaches: LogLine[] = [];
	let leavingCount = 0;
	for (const line of [...changes, ...lines.filter(({message}) => message === 'call')].toSorted((left, right) => left.timeMillis - right.timeMillis)) {
		const {message, values, incarnation, timeMillis} = line;
		if (message === 'call') {
			const sentAtMillis = timeMillis - Number(values.elapsedMillis);
			const leavingSinceMillis = leavingSince.get(`${incarnation} ${values.servers}`);
			if (leavingSinceMillis !== undefined && sentAtMillis > leavingSinceMillis + LEAVING_GRACE_MILLIS) {
				breaches.push(line);
			}
		} else if (message === 'backend server' && values.state === 'ready') {
			leavingSince.delete(`${incarnation} ${values.server}`);
		} else {
			leavingCount++;
			leavingSince.set(`${incarnation} ${values.server}`, timeMillis);
		}
	}

	return deriveVerdict('leaving_gets_no_new_work', leavingCount, 'times that a process saw a backend server leave', breaches);
}

function checkMaps(lines: readonly LogLine[]): LogFinding {
	const switches = lines.filter(({message, values}) => message === 'map switch' && values.outcome === 'switched');
	const seenVersions = new Set<unknown>();
	const breaches = switches.filter(({values}) => {
		const isRepeated = seenVersions.has(values.version);
		seenVersions.add(values.version);
		return isRepeated;
	});
	return deriveVerdict('one_expert_map_per_step', switches.length, 'switches of an expert map, each with a version of its own', breaches);
}

function checkStops(lines: readonly LogLine[]): LogFinding {
	const stops = lines.filter(({message}) => message === 'stopped');
	return deriveVerdict('stop_cuts_nothing_off', stops.length, 'stops', stops.filter(({values}) => Number(values.cutOff) > 0));
}

/**
 * Checks the promises against the lines of any number of processes. A promise without evidence is `not_shown`; a missing end
 * is no breach, because a process that was killed logs none.
 */
export function verifyLogs(lines: readonly LogLine[]): LogReport {
	const leftOut = sum(lines.map(({values}) => Number(values.leftOut ?? 0)));
	return {
		lines: lines.length,
		leftOut,
		promises: [checkNotRun(lines), checkAtMostOnce(lines), checkConfiguration(lines), checkLeaving(lines), checkMaps(lines), checkStops(lines)],
	};
}
