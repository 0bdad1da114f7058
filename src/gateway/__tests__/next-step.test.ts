import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {FramedHead} from '../answer-framing.js';
import type {RetryRule} from '../../routing/routing-configuration.js';
import type {AttemptOutcome} from '../attempt-outcome.js';
import {chooseNextStep, type NextStep} from '../next-step.js';
import {getRefusalStatus} from '../refusal.js';

function head(status: number): FramedHead {
	return {
		status, attemptId: 'a', isNotRun: false, isSigned: true, isEncoded: false, isEventStream: undefined, contentLength: 0, isEndedByConnection: false, load: undefined, faultyServer: undefined,
		isLeaving: false, retryAfterMillis: undefined, requestsPerSecond: undefined, forwardedHeaders: [],
	};
}

const answered = (status: number): AttemptOutcome => ({tag: 'answered', head: head(status), body: new Uint8Array(0)});

/** Outcomes of an attempt and the next step for at-most-once, idempotent and resumable requests. */
const table: ReadonlyArray<Readonly<{what: string; end: AttemptOutcome; once: NextStep; idempotent: NextStep; resumable: NextStep}>> = [
	{
		what: 'nothing was written', end: {tag: 'not_sent', detail: 'ECONNREFUSED'}, once: 'repeat', idempotent: 'repeat', resumable: 'repeat',
	},
	{
		what: 'the backend server states that it did not run the request', end: {tag: 'not_run', head: head(503)}, once: 'repeat', idempotent: 'repeat', resumable: 'repeat',
	},
	{
		what: 'the request was written, but no complete answer arrived', end: {tag: 'lost', detail: 'ECONNRESET'}, once: 'tell_unknown', idempotent: 'repeat', resumable: 'repeat',
	},
	{
		what: 'the attempt timed out', end: {tag: 'late'}, once: 'tell_unknown', idempotent: 'tell_unknown', resumable: 'tell_unknown',
	},
	{
		what: 'a complete answer', end: answered(200), once: 'deliver', idempotent: 'deliver', resumable: 'deliver',
	},
	{
		what: 'a complete answer with a client error', end: answered(404), once: 'deliver', idempotent: 'deliver', resumable: 'deliver',
	},
	{
		what: 'a complete answer with a server error', end: answered(500), once: 'deliver', idempotent: 'repeat', resumable: 'repeat',
	},
	{
		what: 'a complete answer with status 504', end: answered(504), once: 'deliver', idempotent: 'deliver', resumable: 'deliver',
	},
	{
		what: 'a stream forwarded to its end', end: {tag: 'passed'}, once: 'deliver', idempotent: 'deliver', resumable: 'deliver',
	},
	{
		what: 'the caller disconnected', end: {tag: 'caller_left'}, once: 'drop', idempotent: 'drop', resumable: 'drop',
	},
];

for (const {what, end, ...steps} of table) {
	for (const [rule, step] of [['at_most_once', steps.once], ['idempotent', steps.idempotent], ['resumable', steps.resumable]] as ReadonlyArray<[RetryRule, NextStep]>) {
		void test(`${what}, ${rule}: ${step}`, () => {
			assert.equal(chooseNextStep(end, rule), step);
		});
	}
}

void test('only calls proven not to have run are answered with 503', () => {
	assert.equal(getRefusalStatus({tag: 'not_run', reason: 'overload', retryAfterMillis: 1}), 503);
	assert.equal(getRefusalStatus({tag: 'unknown', reason: 'lost'}), 502);
	assert.equal(getRefusalStatus({tag: 'unknown', reason: 'late'}), 504);
});
