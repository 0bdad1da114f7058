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

/** Does `fault` at the first attempt over all agents, and books at the others. */
function faultFirst(fault: Script): Script {
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
	const world = createTestEnvironment(t);
	const agents = await startAgents(world, 'bookings', [script, script]);
	const entries = [await startTestEntry(world, 'entry-1'), await startTestEntry(world, 'entry-2')] as const;
	return {world, agents, entries};
}

test('at most once: the same key through two entries at once', async t => {
	const slow: Script = async attempt => {
		await systemClock.sleep(100);
		return book(attempt);
	};

	const {world, agents, entries} = await startPair(t, slow);
	const answers = await Promise.all([...entries, ...entries].map(async entry => postCall(entry, 'van', headers)));

	assert.deepEqual(answers.map(res => res.status), [200, 200, 200, 200]);
	assert.deepEqual(await Promise.all(answers.map(async res => res.text())), ['booked', 'booked', 'booked', 'booked']);
	assert.equal(answers.filter(res => res.headers.get('Pollenport-Repeated') === 'false').length, 1);
	assert.equal(countRuns(agents), 1);
});

test('at most once: a repeat through another entry gets the first answer', async t => {
	const {world, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	const repeat = await postCall(entries[1], 'van', headers);

	assert.equal(repeat.headers.get('Pollenport-Repeated'), 'true');
	assert.equal(await repeat.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: the same key with another body is refused', async t => {
	const {world, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	const reused = await postCall(entries[1], 'another van', headers);

	assert.equal(reused.status, 409);
	assert.deepEqual(await readOutcome(reused), {outcome: 'not_run', reason: 'key_reused'});
	assert.equal(countRuns(agents), 1);
});

test('at most once: the reply to the claim is lost after the write', async t => {
	const {world, agents, entries} = await startPair(t, book);
	world.table.faults.set({replyLostNext: 1});
	const res = await postCall(entries[0], 'van', headers);
	const repeat = await postCall(entries[1], 'van', headers);

	assert.deepEqual([res.status, repeat.status], [200, 200]);
	assert.equal(countRuns(agents), 1);
});

test('at most once: the table is down, and the outcome is unknown unless the key is new', async t => {
	const {world, agents, entries} = await startPair(t, book);
	world.table.faults.set({outage: true});
	const repeat = await postCall(entries[0], 'van', headers);
	const first = await postCall(entries[0], 'van', {...headers, 'Pollenport-First-Use': 'true'});

	assert.deepEqual(await readOutcome(repeat), {outcome: 'unknown', reason: 'table_unavailable'});
	assert.deepEqual(await readOutcome(first), {outcome: 'not_run', reason: 'table_unavailable'});
	assert.equal(countRuns(agents), 0);
});

test('at most once: a key that ran is repeated while the table is down, and is never told as not run', async t => {
	const {world, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	world.table.faults.set({outage: true});
	const repeats = await Promise.all(entries.map(async entry => postCall(entry, 'van', headers)));

	const outcomes = await Promise.all(repeats.map(async res => readOutcome(res)));
	assert.deepEqual(outcomes.map(({outcome}) => outcome), ['unknown', 'unknown']);
	assert.equal(countRuns(agents), 1);
});

test('at most once: the same key through two entries at once while the table is slow', async t => {
	const {world, agents, entries} = await startPair(t, book);
	world.table.faults.set({delayMillis: 50});
	const answers = await Promise.all([...entries, ...entries].map(async entry => postCall(entry, 'van', headers)));

	assert.deepEqual(await Promise.all(answers.map(async res => res.text())), ['booked', 'booked', 'booked', 'booked']);
	assert.equal(countRuns(agents), 1);
});

test('at most once: the link is cut after the call ran, and the answer is fetched over a new one', async t => {
	const {world, agents, entries} = await startPair(t, faultFirst(async attempt => {
		attempt.closeLink();
		return book(attempt);
	}));
	const res = await postCall(entries[0], 'van', headers);

	assert.equal(await res.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: a start frame is lost with its link, and the claim is taken over', async t => {
	const {world, agents, entries} = await startPair(t, book);
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

test('at most once: a late start frame is refused once its claim was taken over', async t => {
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

test('at most once: an agent that cannot promise not to start keeps the claim', async t => {
	const {agents, entries} = await startPair(t, book);
	for (const agent of agents) {
		agent.startsToDrop = 1;
		agent.refusesTombstones = true;
	}

	const res = await postCall(entries[0], 'van', {...headers, 'Pollenport-Deadline-Ms': '300'});
	for (const agent of agents) {
		agent.startsToDrop = 0;
	}

	const repeat = await postCall(entries[1], 'van', {...headers, 'Pollenport-Deadline-Ms': '800'});

	assert.deepEqual(await readOutcome(res), {outcome: 'unknown', reason: 'deadline'});
	assert.deepEqual(await readOutcome(repeat), {outcome: 'unknown', reason: 'deadline'});
	assert.equal(countRuns(agents), 0);
});

test('at most once: a refused claim moves to another agent', async t => {
	const {world, agents, entries} = await startPair(t, faultFirst(refuseWith('leaving')));
	const res = await postCall(entries[0], 'van', headers);

	assert.equal(await res.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: the agent is killed during the run, and the key stays unknown', async t => {
	const {world, agents, entries} = await startPair(t, faultFirst(({start, send, sender}) => {
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

test('at most once: a planned stop hands the ledger over, and a repeat gets the first answer', async t => {
	const {world, agents, entries} = await startPair(t, book);
	await postCall(entries[0], 'van', headers);
	const agent = agents.find(item => item.executedKeys.length === 1);
	assert.ok(agent);
	await handOverLedger(world.objects, agent.agentId, agent.incarnation, agent.ledger.list());
	agent.restart();
	const repeat = await postCall(entries[1], 'van', headers);

	assert.equal(await repeat.text(), 'booked');
	assert.equal(countRuns(agents), 1);
});

test('at most once: a bound key runs without the table, once over two entries', async t => {
	const {world, agents, entries} = await startPair(t, book);
	world.table.faults.set({outage: true});
	const bound = {...headers, 'Pollenport-Binding': await readBinding(entries[0])};
	const answers = [await postCall(entries[0], 'van', bound), await postCall(entries[1], 'van', bound)];

	assert.deepEqual(answers.map(res => res.headers.get('Pollenport-Repeated')), ['false', 'true']);
	assert.equal(countRuns(agents), 1);
});

test('at most once: a bound key whose agent incarnation is gone is unknown and runs nowhere', async t => {
	const {world, agents, entries} = await startPair(t, book);
	const bound = {...headers, 'Pollenport-Binding': await readBinding(entries[0])};
	for (const agent of agents) {
		agent.restart();
	}

	assert.deepEqual(await readOutcome(await postCall(entries[0], 'van', bound)), {outcome: 'unknown', reason: 'incarnation_gone'});
	assert.equal(countRuns(agents), 0);
});
