import assert from 'node:assert/strict';
import {test} from 'node:test';
import {systemClock} from '../../core/system-clock.js';
import {
	createTestEnvironment, postCall, postPrompt, readAddresses, readOutcome, startAgents, startTestEntry, waitFor, type TestEntry,
} from './entry-harness.js';
import {answerTokens, type Script} from './fake-agent.js';

/** Creates a script that answers once `release` is called. */
function createHeldStream(): Readonly<{script: Script; release: () => void}> {
	const released = new AbortController();
	return {
		release() {
			released.abort();
		},
		async script(attempt) {
			await systemClock.sleep(60_000, released.signal);
			return answerTokens(['whole'])(attempt);
		},
	};
}

test('graceful shutdown: a drain waits for a long stream, serves callers with cached addresses, and runs only once', async t => {
	const {script, release} = createHeldStream();
	const env = createTestEnvironment(t);
	const [agent] = await startAgents(env, 'model', [script]);
	const entry = await startTestEntry(env, 'entry-1', {addressLifetimeMillis: 300});
	assert.deepEqual(await readUrls(entry), ['http://entry-1.test']);
	const long = postPrompt(entry);
	await waitFor(() => agent?.starts.length === 1);

	const drained = entry.running.drain();
	assert.deepEqual(await readUrls(entry), []);
	const cached = postPrompt(entry);
	await waitFor(() => agent?.starts.length === 2);
	const second = entry.running.drain();
	await waitFor(async () => {
		const refused = await readOutcome(await postCall(entry, 'refresh', {'Pollenport-Class': 'look'}));
		return refused.reason === 'leaving';
	});
	release();

	for (const {events} of await Promise.all([long, cached])) {
		assert.equal(events.at(-1)?.name, 'end');
	}

	const report = await drained;
	assert.equal(report.cutOff, 0);
	assert.deepEqual(await second, report);
	const refused = await postPrompt(entry);
	assert.equal(refused.status, 503);
	assert.ok(entry.events.some(event => event.kind === 'drain_ended' && event.cutOff === 0));
});

test('graceful shutdown: the other entries stop assigning the address of a draining entry', async t => {
	const env = createTestEnvironment(t);
	const [one, two] = [await startTestEntry(env, 'entry-1'), await startTestEntry(env, 'entry-2')];
	env.instances = [describeEntry('entry-1', one), describeEntry('entry-2', two)];
	await waitFor(async () => {
		const urls = [...await readUrls(one), ...await readUrls(two)];
		return urls.length === 4;
	});

	const drained = one.running.drain();
	await waitFor(async () => {
		const urls = await readUrls(two);
		return urls.length === 1;
	});

	const {cutOff} = await drained;
	assert.equal(cutOff, 0);
});

test('graceful shutdown: an agent that reports that it is draining gets no new work while another serves', async t => {
	const env = createTestEnvironment(t);
	const answer = answerTokens(['ok']);
	const [draining, serving] = await startAgents(env, 'model', [answer, answer]);
	const entry = await startTestEntry(env, 'entry-1');
	assert.ok(draining);
	draining.isLeaving = true;
	draining.broadcast({$case: 'leaving', leaving: {leaving: true}});
	await waitFor(async () => {
		const status = await fetch(`${entry.operatorUrl}/v1/status`);
		return /"instanceId":"model-1"[^\}]*"leaving":true/v.test(await status.text());
	});
	for (let calls = 0; calls < 10; calls++) {
		// eslint-disable-next-line no-await-in-loop
		const {events} = await postPrompt(entry);
		assert.equal(events.at(-1)?.name, 'end');
	}

	assert.equal(draining?.starts.length, 0);
	assert.equal(serving?.starts.length, 10);
});

async function readUrls(entry: TestEntry): Promise<readonly string[]> {
	const {addresses} = await readAddresses(entry);
	return addresses.map(address => address.url);
}

function describeEntry(id: string, entry: Readonly<{url: string}>) {
	return {
		id, role: 'entry' as const, region: 'r', failureDomain: 'a', state: 'live' as const, callerUrl: entry.url, linkAddress: '', service: '', group: '', rank: -1,
	};
}
