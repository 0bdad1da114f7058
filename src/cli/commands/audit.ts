import {defineCommand} from 'citty';
import {match} from 'ts-pattern';
import {createHttpObjectStore} from '../../adapters/http-object-store.js';
import {verifyLogs, type LogReport} from '../../audit/verify-logs.js';
import {readChains, verifyAudit} from '../../audit/verify-audit.js';
import {createLifeCycle} from '../../core/life-cycle.js';
import {EXIT_OK, EXIT_REFUSED, EXIT_UNREACHABLE} from '../../daemon/exit-code.js';
import {describeUnreadable, readLogs} from '../../explain/read-logs.js';
import {printReport, usageReport, type Report} from '../report.js';
import type {AuditRecord} from '../../audit/audit-record.js';
import type {AuditReport, PromiseVerdict} from '../../audit/audit-report.js';
import type {ObjectError, ObjectStore} from '../../ports/object-store.js';

/** Timeout for one object, in milliseconds. */
const OBJECT_TIMEOUT_MILLIS = 10_000;

const auditArguments = {
	objects: {
		type: 'string', description: 'URL of the object store', required: true, valueHint: 'URL',
	},
	json: {type: 'boolean', description: 'Print one JSON document', default: false},
} as const;

/** Runs `createReport` against the store and closes the connections afterwards. */
async function withStore(url: string, createReport: (objects: ObjectStore) => Promise<Report>): Promise<Report> {
	const lifeCycle = createLifeCycle();
	const report = await createReport(createHttpObjectStore({baseUrl: url, timeoutMillis: OBJECT_TIMEOUT_MILLIS, lifeCycle}));
	await lifeCycle.shutdown();
	return report;
}

function unreachableReport(err: ObjectError): Report {
	const detail = match(err)
		.with({tag: 'exists'}, () => 'unexpected answer')
		.with({tag: 'unavailable'}, {tag: 'reply_lost'}, ({detail}) => detail)
		.exhaustive();
	return {
		lines: [`the object store cannot be read: ${detail}`, 'Nothing was verified. Try again when it is back.'],
		document: {outcome: 'unreachable', detail},
		exitCode: EXIT_UNREACHABLE,
	};
}

function describeRecord(record: AuditRecord): string {
	const {kind, ...fields} = record.event;
	return `${record.at}  ${record.instanceId}  #${record.sequence}  ${kind}  ${JSON.stringify(fields)}`;
}

function describeVerdict({name, verdict, detail}: PromiseVerdict): string {
	return `${verdict.padEnd('not_shown'.length)}  ${name}: ${detail}`;
}

function describeReport(report: AuditReport): readonly string[] {
	return [
		`${report.records} records in ${report.chains} chains, ${report.dropped} dropped, ${report.faults.length} faults`,
		...report.faults.map(fault => `fault: ${fault.chain} #${fault.sequence} ${fault.kind}: ${fault.detail}`),
		...report.promises.flatMap(promise => [
			describeVerdict(promise),
			...promise.records.map(record => `           ${describeRecord(record)}`),
		]),
	];
}

async function verify(objects: ObjectStore): Promise<Report> {
	const report = await verifyAudit(objects);
	if (!report.ok) {
		return unreachableReport(report.error);
	}

	const isBroken = report.value.faults.length > 0 || report.value.promises.some(promise => promise.verdict === 'broken');
	return {lines: describeReport(report.value), document: report.value, exitCode: isBroken ? EXIT_REFUSED : EXIT_OK};
}

async function show(objects: ObjectStore, kind: string | undefined, instance: string | undefined): Promise<Report> {
	const chains = await readChains(objects);
	if (!chains.ok) {
		return unreachableReport(chains.error);
	}

	const records = chains.value
		.flatMap(chain => chain.records)
		.filter(record => kind === undefined || record.event.kind === kind)
		.filter(record => instance === undefined || record.instanceId === instance)
		.toSorted((left, right) => left.at.localeCompare(right.at));
	return {lines: records.map(record => describeRecord(record)), document: records, exitCode: EXIT_OK};
}

const verifyCommand = defineCommand({
	meta: {name: 'verify', description: 'Check all chains, and report for each promise whether it is held, broken or not shown'},
	args: auditArguments,
	async run({args}) {
		printReport(await withStore(args.objects, verify), args.json);
	},
});

const showCommand = defineCommand({
	meta: {name: 'show', description: 'Print audit records in order of time'},
	args: {
		...auditArguments,
		kind: {type: 'string', description: 'Only records of this kind', valueHint: 'KIND'},
		instance: {type: 'string', description: 'Only records of this instance', valueHint: 'ID'},
	},
	async run({args}) {
		printReport(await withStore(args.objects, async objects => show(objects, args.kind, args.instance)), args.json);
	},
});

function describeLogReport(report: LogReport): readonly string[] {
	return [
		`${report.lines} lines; ${report.leftOut} about successful calls were omitted under load`,
		...report.promises.flatMap(promise => [
			describeVerdict(promise),
			...promise.lines.map(line => `           ${line.instanceId} #${line.sequence} ${line.message} ${JSON.stringify(line.values)}`),
		]),
	];
}

async function verifyLogFiles(files: readonly string[]): Promise<Report> {
	const logs = await readLogs(files);
	if (!logs.ok) {
		return usageReport(logs.error);
	}

	const report = verifyLogs(logs.value.lines);
	return {
		lines: [...describeLogReport(report), ...describeUnreadable(logs.value)],
		document: {...report, unreadable: logs.value.unreadable},
		exitCode: report.promises.some(({verdict}) => verdict === 'broken') ? EXIT_REFUSED : EXIT_OK,
	};
}

const logsCommand = defineCommand({
	meta: {name: 'logs', description: 'Check the promises against the log lines of the platform\'s processes'},
	args: {json: auditArguments.json},
	async run({args}) {
		printReport(await verifyLogFiles(args._.map(String)), args.json);
	},
});

/** `pollenport audit` */
export const auditCommand = defineCommand({
	meta: {name: 'audit', description: 'Verify and print the audit records'},
	subCommands: {verify: verifyCommand, show: showCommand, logs: logsCommand},
});
