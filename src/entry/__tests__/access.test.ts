import assert from 'node:assert/strict';
import {connect} from 'node:net';
import {test} from 'node:test';
import {encodeBinding} from '../../claims/binding.js';
import {sha256Hex} from '../../core/digest.js';
import {
	configuration, createTestEnvironment, postCall, postPrompt, readOutcome, startAgents, startTestEntry, waitFor,
} from './entry-harness.js';
import {answerBody, answerTokens} from './fake-agent.js';

test('access: two accounts with the same key get an answer of their own', async t => {
	const world = createTestEnvironment(t);
	world.configuration = {
		...configuration,
		targets: {...configuration.targets, accounts: [...configuration.targets.accounts, {name: 'shop', credentialDigest: sha256Hex('shop-credential')}]},
	};
	const [agent] = await startAgents(world, 'bookings', [async attempt => answerBody(`for ${attempt.start.account}`)(attempt)]);
	const entry = await startTestEntry(world, 'entry-1');
	const key = {'Idempotency-Key': 'the-same'};
	const desk = await postCall(entry, 'van', key);
	const shop = await postCall(entry, 'van', {...key, authorization: 'Bearer shop-credential'});

	assert.deepEqual([await desk.text(), await shop.text()], ['for desk', 'for shop']);
	assert.equal(shop.headers.get('Pollenport-Repeated'), 'false');
	assert.equal(agent?.executedKeys.length, 2);
});

test('access: a binding does not choose where the entry connects', async t => {
	const world = createTestEnvironment(t);
	await startAgents(world, 'bookings', [answerBody('booked')]);
	const elsewhere = createTestEnvironment(t);
	const [unlisted] = await startAgents(elsewhere, 'bookings', [answerBody('stolen')]);
	assert.ok(unlisted);
	const entry = await startTestEntry(world, 'entry-1');
	const binding = encodeBinding({
		service: 'bookings', agentId: 'unlisted', incarnation: unlisted.incarnation, linkAddress: unlisted.address,
	});
	const res = await postCall(entry, 'van', {'Idempotency-Key': 'k', 'Pollenport-Binding': binding});

	assert.deepEqual(await readOutcome(res), {outcome: 'unknown', reason: 'connection_lost'});
	assert.deepEqual(unlisted.starts, []);
});

test('access: a caller that never sends its body delays nobody', async t => {
	const world = createTestEnvironment(t);
	await startAgents(world, 'model', [answerTokens(['ok'])]);
	const entry = await startTestEntry(world, 'entry-1');
	const slow = connect(Number(new URL(entry.url).port), '127.0.0.1');
	t.after(() => {
		slow.destroy();
	});
	slow.write('POST /v1/models/model/answers HTTP/1.1\r\nHost: entry\r\nContent-Length: 100\r\n\r\n{');
	const {events} = await postPrompt(entry);

	assert.equal(events.at(-1)?.name, 'end');
});

test('access: a caller that leaves has its stream cancelled at the agent', async t => {
	const world = createTestEnvironment(t);
	const [agent] = await startAgents(world, 'model', [() => {
		// No answer ever comes.
	}]);
	const entry = await startTestEntry(world, 'entry-1');
	const leaving = new AbortController();
	const asked = postPrompt(entry, {}, leaving.signal);
	await waitFor(() => agent?.starts.length === 1);
	leaving.abort();
	await assert.rejects(asked);
	await waitFor(() => agent?.cancelled.length === 1);

	assert.deepEqual(agent?.cancelled, agent?.starts.map(start => start.attemptId));
});
