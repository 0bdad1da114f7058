import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {encodeBinding} from '../../claims/binding.js';
import {sha256Hex} from '../../core/digest.js';
import {
	configuration, createTestEnvironment, postCall, postPrompt, readOutcome, startAgents, startTestEntry, waitFor,
} from './entry-harness.js';
import {answerBody, answerTokens} from './fake-agent.js';

test('access: the same idempotency key of two accounts runs twice, with a separate answer for each', async t => {
	const env = createTestEnvironment(t);
	env.configuration = {
		...configuration,
		targets: {...configuration.targets, accounts: [...configuration.targets.accounts, {name: 'shop', credentialDigest: sha256Hex('shop-credential')}]},
	};
	const [agent] = await startAgents(env, 'bookings', [async attempt => answerBody(`for ${attempt.start.account}`)(attempt)]);
	const entry = await startTestEntry(env, 'entry-1');
	const key = {'Idempotency-Key': 'the-same'};
	const desk = await postCall(entry, 'van', key);
	const shop = await postCall(entry, 'van', {...key, authorization: 'Bearer shop-credential'});

	assert.deepEqual([await desk.text(), await shop.text()], ['for desk', 'for shop']);
	assert.equal(shop.headers.get('Pollenport-Repeated'), 'false');
	assert.equal(agent?.executedKeys.length, 2);
});

test('access: a binding cannot make the entry connect to an unlisted address', async t => {
	const env = createTestEnvironment(t);
	await startAgents(env, 'bookings', [answerBody('booked')]);
	const elsewhere = createTestEnvironment(t);
	const [unlisted] = await startAgents(elsewhere, 'bookings', [answerBody('stolen')]);
	assert.ok(unlisted);
	const entry = await startTestEntry(env, 'entry-1');
	const binding = encodeBinding({
		service: 'bookings', agentId: 'unlisted', incarnation: unlisted.incarnation, linkAddress: unlisted.address,
	});
	const res = await postCall(entry, 'van', {'Idempotency-Key': 'k', 'Pollenport-Binding': binding});

	assert.deepEqual(await readOutcome(res), {outcome: 'unknown', reason: 'connection_lost'});
	assert.deepEqual(unlisted.starts, []);
});

test('access: a caller that never completes its body does not block other callers', async t => {
	const env = createTestEnvironment(t);
	await startAgents(env, 'model', [answerTokens(['ok'])]);
	const entry = await startTestEntry(env, 'entry-1');
	const slow = connect(Number(new URL(entry.url).port), '127.0.0.1');
	t.after(() => {
		slow.destroy();
	});
	slow.write('POST /v1/models/model/answers HTTP/1.1\r\nHost: entry\r\nContent-Length: 100\r\n\r\n{');
	const {events} = await postPrompt(entry);

	assert.equal(events.at(-1)?.name, 'end');
});

test('access: the stream of a caller that disconnects is cancelled at the agent', async t => {
	const env = createTestEnvironment(t);
	const [agent] = await startAgents(env, 'model', [() => {
		// Never answers.
	}]);
	const entry = await startTestEntry(env, 'entry-1');
	const disconnect = new AbortController();
	const pending = postPrompt(entry, {}, disconnect.signal);
	await waitFor(() => agent?.starts.length === 1);
	disconnect.abort();
	await assert.rejects(pending);
	await waitFor(() => agent?.cancelled.length === 1);

	assert.deepEqual(agent?.cancelled, agent?.starts.map(start => start.attemptId));
});
