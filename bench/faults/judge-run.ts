import {
	countSwitches,
	judgeAnswers,
	judgeAtMostOnce,
	judgeExpertMaps,
	judgeNotRun,
	listSwitchPauses,
	parseGroupRecords,
	parsePlainRecords,
} from '../system/evidence.js';
import type {AuditSummary} from '../system/audit-summary.js';
import type {LoggedCall} from '../system/call-log.js';

/** A promise that was broken, and how it shows. */
export type BrokenPromise = Readonly<{name: string; detail: string}>;

/** All that a run left behind. */
export type RunRecords = Readonly<{
	calls: readonly LoggedCall[];
	group: unknown;
	plains: readonly unknown[];
	audit: AuditSummary;
	badEnds: readonly string[];
	/** Instances whose configuration went back. */
	reverted: readonly string[];
	/** Breaches that a fault saw itself, as `promise: detail`. */
	reported: readonly string[];
}>;

function breachesOfAudit({faults, verdicts, breaches}: AuditSummary): readonly BrokenPromise[] {
	const broken = [...verdicts].filter(([, verdict]) => verdict === 'broken').map(([name]) => ({name, detail: `audit: ${JSON.stringify(breaches)}`}));
	return faults === 0 ? broken : [...broken, {name: 'audit', detail: `${faults} faults in the record`}];
}

/** Checks every promise against what callers, stand-ins and the audit record hold. */
export function judgeRun(records: RunRecords): Readonly<{broken: readonly BrokenPromise[]; mapSwitches: number; switchPauseMillis: readonly number[]}> {
	const executions = records.plains.flatMap(plain => parsePlainRecords(plain));
	const group = parseGroupRecords(records.group);
	const evidence = [
		judgeExpertMaps(group),
		judgeAnswers(records.calls),
		judgeNotRun(records.calls, executions),
		judgeAtMostOnce(records.calls, executions),
	];
	return {
		mapSwitches: countSwitches(group),
		switchPauseMillis: listSwitchPauses(group),
		broken: [
			...evidence.filter(item => !item.held).map(({name, detail}) => ({name, detail})),
			...records.badEnds.map(name => ({name: 'stop_cuts_nothing_off', detail: `${name} ended badly at the end`})),
			...records.reverted.map(name => ({name: 'configuration_never_reverts', detail: `${name} went back`})),
			...records.reported.map(text => ({name: text.split(':')[0] ?? '', detail: text})),
			...breachesOfAudit(records.audit),
		],
	};
}
