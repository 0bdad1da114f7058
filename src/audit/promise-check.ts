import type {AuditEvent, AuditRecord} from './audit-record.js';
import type {PromiseFinding, PromiseName} from './audit-report.js';

type EventOf<K extends AuditEvent['kind']> = Extract<AuditEvent, {kind: K}>;
type RecordOf<K extends AuditEvent['kind']> = AuditRecord & Readonly<{event: EventOf<K>}>;

function isOfKind<K extends AuditEvent['kind']>(record: AuditRecord, kind: K): record is RecordOf<K> {
	return record.event.kind === kind;
}

function filterByKind<K extends AuditEvent['kind']>(records: readonly AuditRecord[], kind: K): ReadonlyArray<RecordOf<K>> {
	return records.filter(record => isOfKind(record, kind));
}

/** `label` names the evidence in the text of the verdict. */
type VerdictBasis = Readonly<{evidenceCount: number; breaches: readonly AuditRecord[]; unfinishedCount: number; label: string}>;

/** A promise is broken by any breach, and held only when there is evidence and all of it has an end. */
function deriveVerdict(name: PromiseName, basis: VerdictBasis): PromiseFinding {
	const {evidenceCount, breaches, unfinishedCount, label} = basis;
	if (breaches.length > 0) {
		return {
			name, verdict: 'broken', detail: `${breaches.length} records show a breach`, records: breaches,
		};
	}

	if (evidenceCount === 0 || unfinishedCount > 0) {
		return {
			name, verdict: 'not_shown', detail: evidenceCount === 0 ? `no ${label} on record` : `${unfinishedCount} of ${evidenceCount} ${label} have no end on record`, records: [],
		};
	}

	return {
		name, verdict: 'held', detail: `${evidenceCount} ${label} on record`, records: [],
	};
}

function groupRecords<T extends AuditRecord>(records: readonly T[], getKey: (record: T) => string): ReadonlyArray<readonly T[]> {
	const groups = new Map<string, T[]>();
	for (const record of records) {
		const key = getKey(record);
		const group = groups.get(key) ?? [];
		group.push(record);
		groups.set(key, group);
	}

	return [...groups.values()];
}

function countDistinct(values: readonly unknown[]): number {
	return new Set(values).size;
}

/** Each proposed map has one outcome, and none was committed that a rank voted against. */
function checkExpertMaps(records: readonly AuditRecord[]): PromiseFinding {
	const outcomes = filterByKind(records, 'vote_outcome');
	const rejectedMaps = new Set(filterByKind(records, 'vote_cast')
		.filter(({event}) => event.vote === 'no')
		.map(({event}) => `${event.group}/${event.groupIncarnation}/${event.epoch}`));
	const breaches = groupRecords(outcomes, ({event}) => `${event.group}/${event.groupIncarnation}/${event.epoch}`)
		.filter(group => countDistinct(group.map(({event}) => `${event.outcome}@${event.fromStep}`)) > 1
			|| group.some(({event}) => event.outcome === 'committed' && rejectedMaps.has(`${event.group}/${event.groupIncarnation}/${event.epoch}`)));
	return deriveVerdict('one_expert_map_per_step', {
		evidenceCount: outcomes.length, breaches: breaches.flat(), unfinishedCount: 0, label: 'outcomes of votes',
	});
}

/** Each answered request has one digest. */
function checkAnswers(records: readonly AuditRecord[]): PromiseFinding {
	const ended = filterByKind(records, 'stream_ended');
	const breaches = groupRecords(ended, ({event}) => event.requestId)
		.filter(group => countDistinct(group.map(({event}) => event.digest)) > 1);
	return deriveVerdict('whole_answer', {
		evidenceCount: ended.length, breaches: breaches.flat(), unfinishedCount: 0, label: 'whole answers',
	});
}

/** Started calls, except those for which the same agent recorded that nothing was sent to the backend server. */
function listSentCalls(records: readonly AuditRecord[]): ReadonlyArray<RecordOf<'call_started'>> {
	const getAttemptKey = ({instanceId, incarnation}: AuditRecord, attemptId: string) => `${instanceId}/${incarnation}/${attemptId}`;
	const neverSent = new Set(filterByKind(records, 'not_run')
		.filter(({event}) => event.proof === 'never_sent')
		.map(record => getAttemptKey(record, record.event.attemptId)));
	return filterByKind(records, 'call_started').filter(record => !neverSent.has(getAttemptKey(record, record.event.attemptId)));
}

/** No attempt that was refused, or reported to the caller as not run, was sent to a backend server. */
function checkNotRun(records: readonly AuditRecord[]): PromiseFinding {
	const sentCalls = new Map(listSentCalls(records).map(record => [record.event.attemptId, record]));
	const refused = filterByKind(records, 'not_run');
	const reportedNotRun = filterByKind(records, 'caller_told').filter(({event}) => event.outcome === 'not_run');
	const breaches = [...refused, ...reportedNotRun].filter(({event}) => event.attemptId !== '' && sentCalls.has(event.attemptId));
	return deriveVerdict('not_run_is_true', {
		evidenceCount: refused.length + reportedNotRun.length, breaches, unfinishedCount: 0, label: 'refusals',
	});
}

/** No idempotency key was started twice, and each started call has an end. */
function checkAtMostOnce(records: readonly AuditRecord[]): PromiseFinding {
	const sentCalls = listSentCalls(records);
	const finishedAttempts = new Set(filterByKind(records, 'call_finished').map(({event}) => event.attemptId));
	const breaches = groupRecords(sentCalls, ({event}) => `${event.account}/${event.service}/${event.keyDigest}`)
		.filter(group => group.length > 1);
	return deriveVerdict('at_most_once', {
		evidenceCount: sentCalls.length,
		breaches: breaches.flat(),
		unfinishedCount: sentCalls.filter(({event}) => !finishedAttempts.has(event.attemptId)).length,
		label: 'started calls',
	});
}

function checkLeaving(records: readonly AuditRecord[]): PromiseFinding {
	return deriveVerdict('leaving_gets_no_new_work', {
		evidenceCount: filterByKind(records, 'leaving').length,
		breaches: filterByKind(records, 'accepted_while_leaving'),
		unfinishedCount: 0,
		label: 'leaves',
	});
}

/** Each drain ended without cutting off a request. */
function checkStops(records: readonly AuditRecord[]): PromiseFinding {
	const started = filterByKind(records, 'drain_started');
	const ended = filterByKind(records, 'drain_ended');
	const endedProcesses = new Set(ended.map(({instanceId, incarnation}) => `${instanceId}/${incarnation}`));
	return deriveVerdict('stop_cuts_nothing_off', {
		evidenceCount: started.length,
		breaches: ended.filter(({event}) => event.cutOff > 0),
		unfinishedCount: started.filter(({instanceId, incarnation}) => !endedProcesses.has(`${instanceId}/${incarnation}`)).length,
		label: 'planned stops',
	});
}

/** Versions increase within each process, and a version is the same change in all processes. */
function checkConfiguration(records: readonly AuditRecord[]): PromiseFinding {
	const inForce = filterByKind(records, 'config_in_force');
	const divergent = groupRecords(inForce, ({event}) => String(event.version))
		.filter(group => countDistinct(group.map(({event}) => event.changeId)) > 1);
	const reverted = groupRecords(inForce, ({instanceId, incarnation}) => `${instanceId}/${incarnation}`)
		.flatMap(chain => chain.filter((record, i) => i > 0 && record.event.version <= (chain[i - 1]?.event.version ?? 0)));
	return deriveVerdict('configuration_never_reverts', {
		evidenceCount: inForce.length, breaches: [...divergent.flat(), ...reverted], unfinishedCount: 0, label: 'versions in force',
	});
}

/** Checks each promise against the records. */
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
