import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {handOverLedger} from '../../ledger/ledger-hand-over.js';
import {systemClock} from '../../core/system-clock.js';
import {
	createTestEnvironment, postCall, readBinding, readOutcome, startAgents, startTestEntry, waitFor,
} from './entry-harness.js';
import {
	answerBody, refuseWith, type FakeAgent, type Script,
} from './fake-agent.js';

const book = answerBody('booked');
const headers = {'Idempotency-Key': 'booking-1'};

/** Runs `fault` for the first attempt over all agents, and answers all later ones. */
function failFirst(fault: Script): Script {
	let attempts = 0;
	return async attempt => {
		attempts++;
		return attempts === 1 ? fault(attempt) : book(attempt);
	};
}

function countRuns(agents: readonly FakeAgent[]): number {
	return agents.flatMap(agent => agent.executedKeys).length;
}

async function startPair(t: TestContext, script: Script) {
	const env = createTestEnvironment(t);
	const agents = await startAgents(env, 'bookings', [script, script]);
	const entries = [await startTestEntry(env, 'entry-1'), await startTestEntry(env, 'entry-2')] as const;
	return {env, agents, entries};
}

test('at most once: the same key through two entries concurrently runs once', async t => {
	const slow: Script = async attempt => {
		await systemClock.sleep(100);
		return book(attempt);
	};

	const {env, agents, entries} = await startPair(t, slow);
	const answers = await Promise.all([...entries, ...entries].map(async entry => postCall(entry, 'van', headers)));

	assert.deepEqual(answers.map(res => res.status), [200, 200, 200, 200]);
	assert.deepEqual(await Promise.all(answers.map(async res => res.text())), ['booked', 'booked', 'booked', 'booked']);
	assert.equal(answers.filter(res => res.headers.get('Pollenport-Repeated') === 'false').length, 1);
	assert.equal(countRuns(agents), 1);
});

test('at most once: a retry through another entry gets the first answer', async t => {
	const {env, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	const retry = await postCall(entries[1], 'van', headers);

	assert.equal(retry.headers.get('Pollenport-Repeated'), 'true');
	assert.equal(await retry.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: the same key with another body is refused', async t => {
	const {env, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	const reused = await postCall(entries[1], 'another van', headers);

	assert.equal(reused.status, 409);
	assert.deepEqual(await readOutcome(reused), {outcome: 'not_run', reason: 'key_reused'});
	assert.equal(countRuns(agents), 1);
});

test('at most once: a claim whose reply is lost after the write still runs the call once', async t => {
	const {env, agents, entries} = await startPair(t, book);
	env.table.faults.set({replyLostNext: 1});
	const res = await postCall(entries[0], 'van', headers);
	const retry = await postCall(entries[1], 'van', headers);

	assert.deepEqual([res.status, retry.status], [200, 200]);
	assert.equal(countRuns(agents), 1);
});

test('at most once: while the table is down, the outcome is unknown unless the caller marks the key as new', async t => {
	const {env, agents, entries} = await startPair(t, book);
	env.table.faults.set({outage: true});
	const retry = await postCall(entries[0], 'van', headers);
	const first = await postCall(entries[0], 'van', {...headers, 'Pollenport-First-Use': 'true'});

	assert.deepEqual(await readOutcome(retry), {outcome: 'unknown', reason: 'table_unavailable'});
	assert.deepEqual(await readOutcome(first), {outcome: 'not_run', reason: 'table_unavailable'});
	assert.equal(countRuns(agents), 0);
});

test('at most once: retries of a key that ran are unknown, never not run, while the table is down', async t => {
	const {env, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	env.table.faults.set({outage: true});
	const retries = await Promise.all(entries.map(async entry => postCall(entry, 'van', headers)));

	const outcomes = await Promise.all(retries.map(async res => readOutcome(res)));
	assert.deepEqual(outcomes.map(({outcome}) => outcome), ['unknown', 'unknown']);
	assert.equal(countRuns(agents), 1);
});

test('at most once: the same key through two entries concurrently runs once while the table is slow', async t => {
	const {env, agents, entries} = await startPair(t, book);
	env.table.faults.set({delayMillis: 50});
	const answers = await Promise.all([...entries, ...entries].map(async entry => postCall(entry, 'van', headers)));

	assert.deepEqual(await Promise.all(answers.map(async res => res.text())), ['booked', 'booked', 'booked', 'booked']);
	assert.equal(countRuns(agents), 1);
});

test('at most once: when the link closes after the call ran, the answer is fetched over a new link', async t => {
	const {env, agents, entries} = await startPair(t, failFirst(async attempt => {
		attempt.closeLink();
		return book(attempt);
	}));
	const res = await postCall(entries[0], 'van', headers);

	assert.equal(await res.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: when a start frame is lost with its link, the claim is taken over', async t => {
	const {env, agents, entries} = await startPair(t, book);
	for (const agent of agents) {
		agent.startsToDrop = 1;
	}

	const pending = postCall(entries[0], 'van', headers);
	await waitFor(() => agents.some(agent => agent.startsToDrop === 0));
	for (const agent of agents) {
		agent.startsToDrop = 0;
		agent.closeLinks();
	}

	const res = await pending;
	assert.equal(await res.text(), 'booked');
	assert.equal(countRuns(agents), 1);
	assert.equal(agents.flatMap(agent => [...agent.tombstones]).length, 1);
});

test('at most once: a delayed start frame is refused once its claim has been taken over', async t => {
	const {agents, entries} = await startPair(t, book);
	for (const agent of agents) {
		agent.delaysStarts = true;
	}

	const first = postCall(entries[0], 'van', {...headers, 'Pollenport-Deadline-Ms': '5000'});
	await waitFor(() => agents.some(agent => agent.delayedStartCount() === 1));
	const holder = agents.find(agent => agent.delayedStartCount() === 1);
	for (const agent of agents) {
		agent.delaysStarts = false;
	}

	const second = await postCall(entries[1], 'van', headers);
	holder?.deliverDelayedStarts();
	const answers = [await first, second];

	assert.deepEqual(await Promise.all(answers.map(async res => res.text())), ['booked', 'booked']);
	assert.equal(countRuns(agents), 1);
});

test('at most once: the claim of an agent that refuses the tombstone is not taken over', async t => {
	const {agents, entries} = await startPair(t, book);
	for (const agent of agents) {
		agent.startsToDrop = 1;
		agent.refusesTombstones = true;
	}

	const res = await postCall(entries[0], 'van', {...headers, 'Pollenport-Deadline-Ms': '300'});
	for (const agent of agents) {
		agent.startsToDrop = 0;
	}

	const retry = await postCall(entries[1], 'van', {...headers, 'Pollenport-Deadline-Ms': '800'});

	assert.deepEqual(await readOutcome(res), {outcome: 'unknown', reason: 'deadline'});
	assert.deepEqual(await readOutcome(retry), {outcome: 'unknown', reason: 'deadline'});
	assert.equal(countRuns(agents), 0);
});

test('at most once: the claim of a refused call moves to another agent', async t => {
	const {env, agents, entries} = await startPair(t, failFirst(refuseWith('leaving')));
	const res = await postCall(entries[0], 'van', headers);

	assert.equal(await res.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: a key whose agent restarts during the call stays unknown', async t => {
	const {env, agents, entries} = await startPair(t, failFirst(({start, send, sender}) => {
		send({$case: 'data', data: sender.createData(Buffer.from('boo'), 3)});
		agents.find(agent => agent.starts.includes(start))?.restart();
	}));
	const outcomes = [await postCall(entries[0], 'van', headers), await postCall(entries[1], 'van', headers)];

	for (const res of outcomes) {
		// eslint-disable-next-line no-await-in-loop
		assert.deepEqual(await readOutcome(res), {outcome: 'unknown', reason: 'incarnation_gone'});
	}

	assert.equal(countRuns(agents), 1);
});

test('at most once: after a planned stop with a handed-over ledger, a retry gets the first answer', async t => {
	const {env, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	const agent = agents.find(item => item.executedKeys.length === 1);
	assert.ok(agent);
	await handOverLedger(env.objects, agent.agentId, agent.incarnation, agent.ledger.list());
	agent.restart();
	const retry = await postCall(entries[1], 'van', headers);

	assert.equal(await retry.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: a bound key runs without the table, and only once over two entries', async t => {
	const {env, agents, entries} = await startPair(t, book);
	env.table.faults.set({outage: true});
	const bound = {...headers, 'Pollenport-Binding': await readBinding(entries[0])};
	const answers = [await postCall(entries[0], 'van', bound), await postCall(entries[1], 'van', bound)];

	assert.deepEqual(answers.map(res => res.headers.get('Pollenport-Repeated')), ['false', 'true']);
	assert.equal(countRuns(agents), 1);
});

test('at most once: a bound key whose agent has restarted is unknown and does not run', async t => {
	const {env, agents, entries} = await startPair(t, book);
	const bound = {...headers, 'Pollenport-Binding': await readBinding(entries[0])};
	for (const agent of agents) {
		agent.restart();
	}

	assert.deepEqual(await readOutcome(await postCall(entries[0], 'van', bound)), {outcome: 'unknown', reason: 'incarnation_gone'});
	assert.equal(countRuns(agents), 0);
});
