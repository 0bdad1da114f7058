import type {AuditEvent, AuditRecord} from './audit-record.js';
import type {PromiseFinding, PromiseName} from './audit-report.js';

type EventOf<K extends AuditEvent['kind']> = Extract<AuditEvent, {kind: K}>;
type RecordOf<K extends AuditEvent['kind']> = AuditRecord & Readonly<{event: EventOf<K>}>;

function isOfKind<K extends AuditEvent['kind']>(record: AuditRecord, kind: K): record is RecordOf<K> {
	return record.event.kind === kind;
}

function ofKind<K extends AuditEvent['kind']>(records: readonly AuditRecord[], kind: K): ReadonlyArray<RecordOf<K>> {
	return records.filter(record => isOfKind(record, kind));
}

type Judgement = Readonly<{evidence: number; breaches: readonly AuditRecord[]; open: number; what: string}>;

/** Broken by any breach; shown only by evidence with nothing left open. */
function judge(name: PromiseName, judgement: Judgement): PromiseFinding {
	const {evidence, breaches, open, what} = judgement;
	if (breaches.length > 0) {
		return {
			name, verdict: 'broken', detail: `${breaches.length} records show a breach`, records: breaches,
		};
	}

	if (evidence === 0 || open > 0) {
		return {
			name, verdict: 'not_shown', detail: evidence === 0 ? `no ${what} on record` : `${open} of ${evidence} ${what} have no end on record`, records: [],
		};
	}

	return {
		name, verdict: 'held', detail: `${evidence} ${what} on record`, records: [],
	};
}

function groupRecords<T extends AuditRecord>(records: readonly T[], keyOf: (record: T) => string): ReadonlyArray<readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const record of records) {
		const key = keyOf(record);
		const group = groups.get(key) ?? [];
		group.push(record);
		groups.set(key, group);
	}

	return [...groups.values()];
}

function distinct(values: readonly unknown[]): number {
	return new Set(values).size;
}

/** One outcome for each proposed map, and no commit against a no. */
function checkExpertMaps(records: readonly AuditRecord[]): PromiseFinding {
	const outcomes = ofKind(records, 'vote_outcome');
	const refusals = new Set(ofKind(records, 'vote_cast')
		.filter(({event}) => event.vote === 'no')
		.map(({event}) => `${event.group}/${event.groupIncarnation}/${event.epoch}`));
	const breaches = groupRecords(outcomes, ({event}) => `${event.group}/${event.groupIncarnation}/${event.epoch}`)
		.filter(group => distinct(group.map(({event}) => `${event.outcome}@${event.fromStep}`)) > 1
			|| group.some(({event}) => event.outcome === 'committed' && refusals.has(`${event.group}/${event.groupIncarnation}/${event.epoch}`)));
	return judge('one_expert_map_per_step', {
		evidence: outcomes.length, breaches: breaches.flat(), open: 0, what: 'outcomes of votes',
	});
}

/** One digest for each answered request. */
function checkAnswers(records: readonly AuditRecord[]): PromiseFinding {
	const ended = ofKind(records, 'stream_ended');
	const breaches = groupRecords(ended, ({event}) => event.requestId)
		.filter(group => distinct(group.map(({event}) => event.digest)) > 1);
	return judge('whole_answer', {
		evidence: ended.length, breaches: breaches.flat(), open: 0, what: 'whole answers',
	});
}

/** Started calls without those of which the same agent recorded that nothing was sent to the backend server. */
function listRuns(records: readonly AuditRecord[]): ReadonlyArray<RecordOf<'call_started'>> {
	const identify = ({instanceId, incarnation}: AuditRecord, attemptId: string) => `${instanceId}/${incarnation}/${attemptId}`;
	const withdrawn = new Set(ofKind(records, 'not_run')
		.filter(({event}) => event.proof === 'never_sent')
		.map(record => identify(record, record.event.attemptId)));
	return ofKind(records, 'call_started').filter(record => !withdrawn.has(identify(record, record.event.attemptId)));
}

/** No attempt that was refused or told as not run was started. */
function checkNotRun(records: readonly AuditRecord[]): PromiseFinding {
	const started = new Map(listRuns(records).map(record => [record.event.attemptId, record]));
	const refused = ofKind(records, 'not_run');
	const told = ofKind(records, 'caller_told').filter(({event}) => event.outcome === 'not_run');
	const breaches = [...refused, ...told].filter(({event}) => event.attemptId !== '' && started.has(event.attemptId));
	return judge('not_run_is_true', {
		evidence: refused.length + told.length, breaches, open: 0, what: 'refusals',
	});
}

/** No key was started twice; each started call has an end. */
function checkAtMostOnce(records: readonly AuditRecord[]): PromiseFinding {
	const started = listRuns(records);
	const finished = new Set(ofKind(records, 'call_finished').map(({event}) => event.attemptId));
	const breaches = groupRecords(started, ({event}) => `${event.account}/${event.service}/${event.keyDigest}`)
		.filter(group => group.length > 1);
	return judge('at_most_once', {
		evidence: started.length,
		breaches: breaches.flat(),
		open: started.filter(({event}) => !finished.has(event.attemptId)).length,
		what: 'started calls',
	});
}

function checkLeaving(records: readonly AuditRecord[]): PromiseFinding {
	return judge('leaving_gets_no_new_work', {
		evidence: ofKind(records, 'leaving').length,
		breaches: ofKind(records, 'accepted_while_leaving'),
		open: 0,
		what: 'leaves',
	});
}

/** Each drain ended, and with nothing cut off. */
function checkStops(records: readonly AuditRecord[]): PromiseFinding {
	const started = ofKind(records, 'drain_started');
	const ended = ofKind(records, 'drain_ended');
	const endedProcesses = new Set(ended.map(({instanceId, incarnation}) => `${instanceId}/${incarnation}`));
	return judge('stop_cuts_nothing_off', {
		evidence: started.length,
		breaches: ended.filter(({event}) => event.cutOff > 0),
		open: started.filter(({instanceId, incarnation}) => !endedProcesses.has(`${instanceId}/${incarnation}`)).length,
		what: 'planned stops',
	});
}

/** Versions grow in each process, and a version is one and the same change everywhere. */
function checkConfiguration(records: readonly AuditRecord[]): PromiseFinding {
	const inForce = ofKind(records, 'config_in_force');
	const split = groupRecords(inForce, ({event}) => String(event.version))
		.filter(group => distinct(group.map(({event}) => event.changeId)) > 1);
	const reverted = groupRecords(inForce, ({instanceId, incarnation}) => `${instanceId}/${incarnation}`)
		.flatMap(chain => chain.filter((record, i) => i > 0 && record.event.version <= (chain[i - 1]?.event.version ?? 0)));
	return judge('configuration_never_reverts', {
		evidence: inForce.length, breaches: [...split.flat(), ...reverted], open: 0, what: 'versions in force',
	});
}

/** What the records say of each promise. */
export function checkPromises(records: readonly AuditRecord[]): readonly PromiseFinding[] {
	return [
		checkExpertMaps(records),
		checkAnswers(records),
		checkNotRun(records),
		checkAtMostOnce(records),
		checkLeaving(records),
		checkStops(records),
		checkConfiguration(records),
	];
}
