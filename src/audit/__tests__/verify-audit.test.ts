import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {sealRecord} from '../audit-chain.js';
import {createAuditLog} from '../audit-recorder.js';
import {verifyChains, type StoredChain} from '../verify-audit.js';
import type {AuditEvent, AuditRecord} from '../audit-record.js';
import type {AuditReport, PromiseName} from '../audit-report.js';

function record(instanceId: string, events: readonly AuditEvent[]): StoredChain {
	const log = createAuditLog(createManualClock(), {instanceId, incarnation: 'run-1', pendingRecords: 100});
	for (const event of events) {
		log.append(event, 'must_keep');
	}

	return {chain: `${instanceId}/run-1`, records: log.readPending(), faults: []};
}

function changeRecords(chain: StoredChain, change: (records: readonly AuditRecord[]) => readonly AuditRecord[]): StoredChain {
	return {...chain, records: change(chain.records)};
}

function findVerdict(report: AuditReport, name: PromiseName): string {
	return report.promises.find(promise => promise.name === name)?.verdict ?? 'absent';
}

const started: AuditEvent = {
	kind: 'call_started', attemptId: 'attempt-1', account: 'workshop', service: 'bookings', keyDigest: 'key-1', requestDigest: 'body-1',
};
const finished: AuditEvent = {
	kind: 'call_finished', attemptId: 'attempt-1', account: 'workshop', service: 'bookings', keyDigest: 'key-1', outcome: 'answered',
};
const versionOne: AuditEvent = {kind: 'config_in_force', version: 1, changeId: 'change-1'};
const versionTwo: AuditEvent = {kind: 'config_in_force', version: 2, changeId: 'change-2'};

const tamperings: ReadonlyArray<Readonly<{name: string; kind: string; change: (records: readonly AuditRecord[]) => readonly AuditRecord[]}>> = [
	{name: 'a removed record', kind: 'removed', change: records => records.filter(({sequence}) => sequence !== 2)},
	{name: 'a removed first record', kind: 'removed', change: records => records.slice(1)},
	{name: 'a changed event', kind: 'changed', change: records => records.map(item => item.sequence === 2 ? {...item, event: versionTwo} : item)},
	{name: 'a changed time', kind: 'changed', change: records => records.map(item => item.sequence === 1 ? {...item, at: '2026-01-01T00:00:00.000Z'} : item)},
	{name: 'a changed event with a recomputed hash', kind: 'changed', change: records => records.map(item => item.sequence === 2 ? sealRecord({...item, event: versionTwo}) : item)},
	{name: 'two swapped records', kind: 'reordered', change: ([first, second, ...rest]) => first && second ? [second, first, ...rest] : []},
];

for (const {name, kind, change} of tamperings) {
	test(`audit verify finds ${name}, and counts nothing as held`, () => {
		const chain = record('agent-1', [versionOne, started, finished]);
		const report = verifyChains([changeRecords(chain, change)]);
		assert.ok(report.faults.some(fault => fault.kind === kind), JSON.stringify(report.faults));
		assert.ok(report.promises.every(promise => promise.verdict !== 'held'));
	});
}

test('audit verify finds no fault in untouched chains', () => {
	const report = verifyChains([record('agent-1', [versionOne, started, finished]), record('entry-1', [versionOne, versionTwo])]);
	assert.deepEqual(report.faults, []);
	assert.equal(findVerdict(report, 'at_most_once'), 'held');
	assert.equal(findVerdict(report, 'configuration_never_reverts'), 'held');
	assert.equal(findVerdict(report, 'one_expert_map_per_step'), 'not_shown');
});

const vote = {
	group: 'group-1', groupIncarnation: 'g-1', epoch: 7, fromStep: 40,
} as const;

const breaches: ReadonlyArray<Readonly<{promise: PromiseName; what: string; chains: readonly StoredChain[]}>> = [
	{
		promise: 'at_most_once',
		what: 'one key started at two agents',
		chains: [record('agent-1', [started, finished]), record('agent-2', [{...started, attemptId: 'attempt-2'}])],
	},
	{
		promise: 'not_run_is_true',
		what: 'a started attempt reported as not run',
		chains: [
			record('agent-1', [started, finished]),
			record('entry-1', [{
				kind: 'not_run', attemptId: 'attempt-1', requestId: 'request-1', reason: 'tombstone', proof: 'tombstone',
			}]),
		],
	},
	{
		promise: 'one_expert_map_per_step',
		what: 'a commit despite a no vote',
		chains: [
			record('agent-1', [{
				...vote, kind: 'vote_cast', rank: 0, vote: 'no',
			}]),
			record('agent-2', [{
				...vote, kind: 'vote_outcome', rank: 1, outcome: 'committed',
			}]),
		],
	},
	{
		promise: 'one_expert_map_per_step',
		what: 'a commit at one rank and an abort at another',
		chains: [
			record('agent-1', [{
				...vote, kind: 'vote_outcome', rank: 0, outcome: 'aborted',
			}]),
			record('agent-2', [{
				...vote, kind: 'vote_outcome', rank: 1, outcome: 'committed',
			}]),
		],
	},
	{
		promise: 'leaving_gets_no_new_work',
		what: 'work accepted while leaving',
		chains: [record('agent-1', [
			{
				kind: 'leaving', instanceId: 'agent-1', leaving: true, cause: 'planned stop',
			},
			{kind: 'accepted_while_leaving', attemptId: 'attempt-1'},
		])],
	},
	{
		promise: 'stop_cuts_nothing_off',
		what: 'a drain that cut a request off',
		chains: [record('agent-1', [
			{kind: 'drain_started', instanceId: 'agent-1', inFlight: 2},
			{
				kind: 'drain_ended', instanceId: 'agent-1', cutOff: 1, lastRequestId: 'request-1',
			},
		])],
	},
	{
		promise: 'configuration_never_reverts',
		what: 'a lower version after a higher one',
		chains: [record('entry-1', [versionTwo, versionOne])],
	},
	{
		promise: 'configuration_never_reverts',
		what: 'two changes under one version',
		chains: [record('entry-1', [versionOne]), record('entry-2', [{...versionOne, changeId: 'change-9'}])],
	},
	{
		promise: 'whole_answer',
		what: 'two digests for one request',
		chains: ['a', 'b'].map(digest => record(`entry-${digest}`, [{
			kind: 'stream_ended', requestId: 'request-1', account: 'workshop', count: 4, digest, attempts: 1,
		}])),
	},
];

for (const {promise, what, chains} of breaches) {
	test(`audit verify reports ${promise} broken by ${what}`, () => {
		const report = verifyChains(chains);
		assert.deepEqual(report.faults, []);
		const finding = report.promises.find(({name}) => name === promise);
		assert.equal(finding?.verdict, 'broken');
		assert.ok((finding?.records.length ?? 0) > 0);
	});
}

test('dropped records leave a gap record, and records that must be kept are never dropped', () => {
	const log = createAuditLog(createManualClock(), {instanceId: 'agent-1', incarnation: 'run-1', pendingRecords: 4});
	assert.ok(log.append(versionOne, 'may_drop'));
	assert.ok(log.append(versionOne, 'may_drop'));
	assert.ok(!log.append(versionOne, 'may_drop'));
	assert.ok(log.hasRoom());
	assert.ok(log.append(started, 'must_keep'));
	assert.ok(!log.hasRoom());
	assert.ok(!log.append({...started, attemptId: 'attempt-2'}, 'must_keep'));
	assert.ok(log.append(finished, 'closes_kept'));

	assert.deepEqual(log.readPending().map(({sequence, event}) => `${sequence} ${event.kind}`), [
		'1 config_in_force',
		'2 config_in_force',
		'3 gap',
		'4 call_started',
		'5 call_finished',
	]);
	log.removeThrough(4);
	assert.deepEqual(log.readPending().map(({sequence}) => sequence), [5]);
	assert.equal(log.readDropped(), 1);
});

const neverSent: AuditEvent = {
	kind: 'not_run', attemptId: 'attempt-1', requestId: 'request-1', reason: 'connection_refused', proof: 'never_sent',
};

test('a call whose agent recorded that nothing was sent did not run, and may run elsewhere', () => {
	const report = verifyChains([
		record('agent-1', [started, neverSent]),
		record('agent-2', [{...started, attemptId: 'attempt-2'}, {...finished, attemptId: 'attempt-2'}]),
	]);
	assert.equal(findVerdict(report, 'at_most_once'), 'held');
	assert.equal(findVerdict(report, 'not_run_is_true'), 'held');
});

test('a record of another process that nothing was sent does not withdraw a started call', () => {
	const report = verifyChains([record('agent-1', [started, finished]), record('entry-1', [neverSent])]);
	assert.equal(findVerdict(report, 'not_run_is_true'), 'broken');
});
