import assert from 'node:assert/strict';
import {test} from 'node:test';
import {encodeTokens} from '../../answer/payload-units.js';
import {
	configuration, createTestEnvironment, postCall, postPrompt, readBinding, readOutcome, startAgents, startTestEntry, CREDENTIAL,
} from './entry-harness.js';
import {
	answerBody, answerTokens, refuseWith, type Script,
} from './fake-agent.js';

const book = answerBody('booked');
const headers = {'Idempotency-Key': 'booking-1', 'Pollenport-First-Use': 'true'};
const ignoreAttempt: Script = () => {
	// Never answers.
};

test('"not run" is true: a refusal by the agent is returned as not run, with the refusal as proof', async t => {
	const env = createTestEnvironment(t);
	const [agent] = await startAgents(env, 'bookings', [refuseWith('ledger_full')]);
	const entry = await startTestEntry(env, 'entry-1');
	const res = await postCall(entry, 'van', headers);

	assert.equal(res.status, 503);
	assert.deepEqual(await readOutcome(res), {outcome: 'not_run', reason: 'ledger_full'});
	assert.deepEqual(agent?.executedKeys, []);
	assert.equal(entry.events.find(event => event.kind === 'not_run')?.proof, 'refused');
});

test('"not run" is true: a deadline that passes before the start frame arrives is not run, proved by a tombstone', async t => {
	const env = createTestEnvironment(t);
	const [agent] = await startAgents(env, 'bookings', [book]);
	const entry = await startTestEntry(env, 'entry-1');
	assert.ok(agent);
	agent.startsToDrop = 1;
	const res = await postCall(entry, 'van', {...headers, 'Pollenport-Deadline-Ms': '200'});

	assert.deepEqual(await readOutcome(res), {outcome: 'not_run', reason: 'deadline'});
	assert.equal(entry.events.find(event => event.kind === 'not_run')?.proof, 'tombstone');
	assert.equal(agent.tombstones.size, 1);
});

test('"not run" is true: a deadline that passes while the call runs gives an unknown outcome', async t => {
	const env = createTestEnvironment(t);
	await startAgents(env, 'bookings', [ignoreAttempt]);
	const entry = await startTestEntry(env, 'entry-1');
	const res = await postCall(entry, 'van', {...headers, 'Pollenport-Deadline-Ms': '200'});

	assert.equal(res.status, 504);
	assert.deepEqual(await readOutcome(res), {outcome: 'unknown', reason: 'deadline'});
});

test('"not run" is true: a retry that the agent refuses is unknown when the key has run before', async t => {
	const env = createTestEnvironment(t);
	const [agent] = await startAgents(env, 'bookings', [book]);
	const entry = await startTestEntry(env, 'entry-1');
	assert.ok(agent);
	const bound = {'Idempotency-Key': 'booking-1', 'Pollenport-Binding': await readBinding(entry)};
	await postCall(entry, 'van', bound);
	agent.refusalReason = 'leaving';
	const retry = await postCall(entry, 'van', bound);
	const fresh = await postCall(entry, 'van', {...bound, 'Idempotency-Key': 'booking-2'});

	assert.deepEqual(await readOutcome(retry), {outcome: 'unknown', reason: 'repeat_refused'});
	assert.deepEqual(await readOutcome(fresh), {outcome: 'not_run', reason: 'leaving'});
});

test('"not run" is true: an entry with a stale configuration is refused, catches up and is served', async t => {
	const env = createTestEnvironment(t);
	const [agent] = await startAgents(env, 'model', [answerTokens(['a', 'b'])]);
	const entry = await startTestEntry(env, 'entry-1');
	assert.ok(agent);
	agent.configuration = {...configuration, version: 7, changeId: 'later'};
	const {events} = await postPrompt(entry);

	assert.equal(events.at(-1)?.name, 'end');
	assert.equal(entry.ctx.configuration.version(), 7);
});

test('"not run" is true: a connection that times out mid-stream is replaced, and the answer is completed', async t => {
	const env = createTestEnvironment(t);
	const tokens = ['a', 'b', 'c'];
	const [first] = await startAgents(env, 'model', [async attempt => {
		if (attempt.start.offset === 0 && first?.starts.length === 1) {
			answerTokens(['a', 'b'])({
				...attempt, send(body) {
					if (body.$case === 'data') {
						attempt.send(body);
					}
				},
			});
			first.stallLinks();
			return;
		}

		return answerTokens(tokens)(attempt);
	}]);
	const entry = await startTestEntry(env, 'entry-1');
	const {events} = await postPrompt(entry);

	assert.equal(events.flatMap(event => event.tokens).join(''), 'abc');
	assert.equal(events.at(-1)?.name, 'end');
});

test('"not run" is true: a stream that does not finish by its deadline gets a cut event and no end event', async t => {
	const env = createTestEnvironment(t);
	await startAgents(env, 'model', [({start, sender, send}) => {
		if (start.offset === 0) {
			send({$case: 'data', data: sender.createData(encodeTokens(['x']), 1)});
		}
	}]);
	const entry = await startTestEntry(env, 'entry-1');
	const {status, events} = await postPrompt(entry, {'Pollenport-Deadline-Ms': '300'});

	assert.equal(status, 200);
	assert.deepEqual(events.map(event => event.name), ['tokens', 'cut']);
	assert.equal(events.at(-1)?.outcome, 'unknown');
});

const REFUSED: ReadonlyArray<readonly [string, number, string, Readonly<{body: string; headers?: Readonly<Record<string, string>>}>]> = [
	['a call without a key', 400, 'bad_request', {body: 'van'}],
	['an ill-formed deadline', 400, 'bad_request', {body: 'van', headers: {...headers, 'Pollenport-Deadline-Ms': 'soon'}}],
	['an ill-formed binding', 400, 'bad_request', {body: 'van', headers: {...headers, 'Pollenport-Binding': 'x'}}],
	['a wrong credential', 401, 'unauthenticated', {body: 'van', headers: {...headers, authorization: 'Bearer other'}}],
	['an oversized body', 413, 'body_too_large', {body: 'v'.repeat(5000), headers}],
];

for (const [fault, status, reason, init] of REFUSED) {
	test(`"not run" is true: ${fault} is refused with ${status}`, async t => {
		const env = createTestEnvironment(t);
		const [agent] = await startAgents(env, 'bookings', [book]);
		const entry = await startTestEntry(env, 'entry-1');
		const res = await fetch(`${entry.url}/v1/services/bookings/calls`, {
			...init, method: 'POST', headers: {authorization: `Bearer ${CREDENTIAL}`, ...init.headers},
		});

		assert.equal(res.status, status);
		assert.deepEqual(await readOutcome(res), {outcome: 'not_run', reason});
		assert.deepEqual(agent?.starts, []);
	});
}
