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

/** A promise that was broken, and the evidence for it. */
export type BrokenPromise = Readonly<{name: string; detail: string}>;

/** Everything that a run recorded. */
export type RunRecords = Readonly<{
	calls: readonly LoggedCall[];
	group: unknown;
	plainServiceRecords: readonly unknown[];
	audit: AuditSummary;
	uncleanExits: readonly string[];
	/** Daemons that reported a lower configuration version than before. */
	revertedDaemons: readonly string[];
	/** Breaches that a fault itself observed, as `promise: detail`. */
	reportedBreaches: readonly string[];
}>;

function listAuditBreaches({faults, verdicts, breaches}: AuditSummary): readonly BrokenPromise[] {
	const broken = [...verdicts].filter(([, verdict]) => verdict === 'broken').map(([name]) => ({name, detail: `audit: ${JSON.stringify(breaches)}`}));
	return faults === 0 ? broken : [...broken, {name: 'audit', detail: `${faults} faults in the audit record`}];
}

/** Checks every promise against the records of callers and stand-ins and the audit record. */
export function judgeRun(records: RunRecords): Readonly<{broken: readonly BrokenPromise[]; mapSwitches: number; switchPauseMillis: readonly number[]}> {
	const executions = records.plainServiceRecords.flatMap(plain => parsePlainRecords(plain));
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
			...records.uncleanExits.map(name => ({name: 'stop_cuts_nothing_off', detail: `${name} did not exit cleanly at the shutdown`})),
			...records.revertedDaemons.map(name => ({name: 'configuration_never_reverts', detail: `${name} reported a lower version than before`})),
			...records.reportedBreaches.map(text => ({name: text.split(':')[0] ?? '', detail: text})),
			...listAuditBreaches(records.audit),
		],
	};
}
