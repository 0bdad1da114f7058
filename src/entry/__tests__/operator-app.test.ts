import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {z} from 'zod';
import {
	configuration, createTestEnvironment, postPrompt, readAddresses, startAgents, startTestEntry, waitFor, type TestEntry,
} from './entry-harness.js';
import {answerTokens} from './fake-agent.js';

const answerSchema = z.looseObject({
	outcome: z.string().optional(),
	id: z.string().default(''),
	version: z.number().optional(),
	confirmed: z.array(z.string()).default([]),
	missing: z.array(z.string()).default([]),
	current: z.looseObject({changeId: z.string()}).nullable().optional(),
	stops: z.array(z.looseObject({id: z.string(), waitsFor: z.array(z.looseObject({instanceId: z.string()}))})).default([]),
});

type Answer = Readonly<{status: number; body: z.infer<typeof answerSchema>}>;

async function sendRequest(entry: TestEntry, method: string, path: string, body?: unknown): Promise<Answer> {
	const res = await fetch(`${entry.operatorUrl}${path}`, {
		method, body: body === undefined ? null : JSON.stringify(body), headers: {authorization: 'Bearer operator'},
	});
	return {status: res.status, body: answerSchema.parse(await res.json())};
}

async function apply(entry: TestEntry, expectedVersion: number, changeId: string): Promise<Answer> {
	return sendRequest(entry, 'PUT', '/v1/configuration', {
		expectedVersion, changeId, changedBy: 'operator', targets: configuration.targets,
	});
}

/** Starts two entries without a configuration, and the agent that they have links to. */
async function startUnconfigured(t: TestContext) {
	const env = createTestEnvironment(t);
	env.configuration = undefined;
	const [agent] = await startAgents(env, 'model', [answerTokens(['ok'])]);
	assert.ok(agent);
	agent.acceptsConfigurations = true;
	const entries = [
		await startTestEntry(env, 'entry-1', {}, 'operator'),
		await startTestEntry(env, 'entry-2', {}, 'operator'),
	] as const;
	return {env, agent, entries};
}

test('configuration: of two concurrent changes one is accepted, and the other gets a conflict that shows the accepted one', async t => {
	const {entries} = await startUnconfigured(t);
	const answers = await Promise.all([apply(entries[0], 0, 'change-a'), apply(entries[1], 0, 'change-b')]);
	const accepted = answers.find(answer => answer.status === 200);
	const refused = answers.find(answer => answer.status === 409);

	assert.equal(accepted?.body.version, 1);
	assert.equal(refused?.body.outcome, 'conflict');
	assert.deepEqual(['change-a', 'change-b'].filter(id => id === refused?.body.current?.changeId).length, 1);
});

test('configuration: a change whose table reply is lost is accepted once', async t => {
	const {env, entries} = await startUnconfigured(t);
	env.table.faults.set({replyLostNext: 1});
	const first = await apply(entries[0], 0, 'change-a');
	const retry = await apply(entries[0], 0, 'change-a');
	const stale = await apply(entries[0], 0, 'change-c');

	assert.deepEqual([first.status, first.body.version], [200, 1]);
	assert.deepEqual([retry.status, retry.body.version], [200, 1]);
	assert.equal(stale.status, 409);
});

test('configuration: an accepted change is confirmed by the instances that have it in force', async t => {
	const {agent, entries} = await startUnconfigured(t);
	const {body} = await apply(entries[0], 0, 'change-a');

	assert.deepEqual(body.confirmed, ['entry-1', 'model-1']);
	assert.equal(agent.configuration?.version, 1);
	await waitFor(() => entries[1].ctx.configuration.version() === 1);
});

test('leaving gets no new work: a planned stop of an agent or of the entry itself takes effect at once', async t => {
	const {agent, entries} = await startUnconfigured(t);
	const [entry] = entries;
	await apply(entry, 0, 'change-a');
	const stop = await sendRequest(entry, 'POST', '/v1/stops', {scope: 'instance', subject: 'model-1', changedBy: 'operator'});
	const refused = await postPrompt(entry);
	await sendRequest(entry, 'DELETE', `/v1/stops/${stop.body.id}`);
	const served = await postPrompt(entry);
	await sendRequest(entry, 'POST', '/v1/stops', {scope: 'instance', subject: 'entry-1', changedBy: 'operator'});
	const {addresses} = await readAddresses(entry);
	const listed = await sendRequest(entry, 'GET', '/v1/stops');

	assert.equal(refused.status, 503);
	assert.equal(served.events.at(-1)?.name, 'end');
	assert.equal(agent.starts.length, 1);
	assert.deepEqual(addresses, []);
	assert.deepEqual(listed.body.stops.map(item => item.waitsFor), [[]]);
});

test('access: a wrong operator token is refused and counted', async t => {
	const {entries: [entry]} = await startUnconfigured(t);
	const res = await fetch(`${entry.operatorUrl}/v1/configuration`, {headers: {authorization: 'Bearer other'}});
	const {values} = await entry.ctx.metrics.rejectedConnections.get();

	assert.equal(res.status, 401);
	assert.deepEqual(values.map(item => [item.labels.reason, item.value]), [['operator_token', 1]]);
});
