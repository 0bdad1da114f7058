import {Buffer} from 'node:buffer';
import assert from 'node:assert/strict';
import {once} from 'node:events';
import {test, type TestContext} from 'node:test';
import {Client} from '@grpc/grpc-js';
import {AgentLinkService} from '../../wire/generated/link.js';
import {readHandedOverLedger} from '../../ledger/ledger-hand-over.js';
import {digestKey} from '../../ledger/key-digest.js';
import {startAgent, type RunningAgent} from '../start-agent.js';
import {createConfiguration, createFakeContext, createSettings} from './fake-context.js';
import {answerWith, createFakePlainService} from './fake-plain-service.js';
import {createStart, openLinkProbe} from './link-probe.js';

/** Bytes that do not decode as a frame: an unterminated varint field number. */
const MALFORMED_FRAME = Buffer.from([0xFF, 0xFF, 0xFF]);

async function startPlainAgent(t: TestContext, token?: string) {
	const plain = createFakePlainService();
	const {ctx, platform} = createFakeContext('run-1', {token});
	const started = await startAgent(ctx, createSettings(), {kind: 'plain', plain});
	assert.ok(started.ok);
	t.after(async () => ctx.lifeCycle.shutdown());
	const agent: RunningAgent = started.value;
	const connect = () => {
		const probe = openLinkProbe(agent.linkAddress, ctx.linkAccess);
		t.after(probe.close);
		return probe;
	};

	return {
		agent, ctx, platform, plain, connect,
	};
}

test('one live agent per slot: a second agent on the same port does not start', async t => {
	const {agent} = await startPlainAgent(t);
	const {ctx} = createFakeContext('run-2');
	const second = await startAgent(ctx, createSettings({linkListen: agent.linkAddress}), {kind: 'plain', plain: createFakePlainService()});
	assert.equal(!second.ok && second.error.tag, 'listen_failed');
});

test('link: an entry without the token is refused and counted', async t => {
	const {agent, ctx} = await startPlainAgent(t, 'secret');
	const probe = openLinkProbe(agent.linkAddress, createFakeContext('entry', {token: 'wrong'}).ctx.linkAccess);
	t.after(probe.close);
	assert.match(await probe.ended, /unauthorised/v);
	const counted = await ctx.metrics.rejectedConnections.get();
	assert.deepEqual(counted.values.map(value => value.labels.reason), ['unauthorised']);
});

test('whole answer: the answer of a plain service arrives with its count and status', async t => {
	const {plain, connect} = await startPlainAgent(t);
	const probe = connect();
	probe.send(0, {$case: 'start', start: createStart('a1', {idempotent: true})});
	await plain.end(answerWith('booked'));
	assert.equal(await probe.read('data', body => String(body.data.payload)), 'booked');
	const {end} = await probe.take('end');
	assert.equal(end.count, 6);
	assert.equal(end.status, 201);
});

test('not run: a start frame that arrives after its tombstone is refused and nothing runs', async t => {
	const {plain, connect} = await startPlainAgent(t);
	const [early, late] = [connect(), connect()];
	early.send(0, {$case: 'tombstone', tombstone: {attemptId: 'a1'}});
	assert.ok(await early.read('tombstoned', body => body.tombstoned.recorded));
	late.send(0, {$case: 'start', start: createStart('a1')});
	assert.equal(await late.read('refused', body => body.refused.reason), 'tombstone');
	assert.equal(plain.calls.length, 0);
});

test('not run: no tombstone is recorded for a running attempt', async t => {
	const {plain, connect} = await startPlainAgent(t);
	const probe = connect();
	probe.send(0, {$case: 'start', start: createStart('a1')});
	await probe.take('accepted');
	probe.send(0, {$case: 'tombstone', tombstone: {attemptId: 'a1'}});
	assert.equal(await probe.read('tombstoned', body => body.tombstoned.recorded), false);
	await plain.end(answerWith('booked'));
});

test('at most once: the same key through two entries concurrently runs once and both get the answer', async t => {
	const {plain, connect} = await startPlainAgent(t);
	const [first, second] = [connect(), connect()];
	first.send(0, {$case: 'start', start: createStart('a1', {idempotencyKey: 'k'})});
	await first.take('accepted');
	second.send(0, {$case: 'start', start: createStart('a2', {idempotencyKey: 'k'})});
	await second.take('accepted');
	await plain.end(answerWith('booked'));
	assert.equal(await first.read('end', body => body.end.repeated), false);
	assert.equal(await second.read('end', body => body.end.repeated), true);
	assert.equal(plain.calls.length, 1);
});

test('at most once: a call whose link closes continues, and a retry gets its answer', async t => {
	const {plain, connect} = await startPlainAgent(t);
	const closed = connect();
	closed.send(0, {$case: 'start', start: createStart('a1', {idempotencyKey: 'k'})});
	await closed.take('accepted');
	closed.close();
	await plain.end(answerWith('booked'));
	const probe = connect();
	probe.send(0, {$case: 'start', start: createStart('a2', {idempotencyKey: 'k'})});
	assert.equal(await probe.read('end', body => body.end.repeated), true);
	assert.equal(plain.calls.length, 1);
});

test('at most once: the key of a call that got no answer stays unknown', async t => {
	const {plain, connect} = await startPlainAgent(t);
	const probe = connect();
	probe.send(0, {$case: 'start', start: createStart('a1', {idempotencyKey: 'k'})});
	await plain.end({ok: false, error: {tag: 'no_answer', detail: 'cut'}});
	await probe.take('broken');
	probe.send(0, {$case: 'start', start: createStart('a2', {idempotencyKey: 'k'})});
	assert.equal(await probe.read('broken', body => body.broken.attemptId), 'a2');
	assert.equal(plain.calls.length, 1);
});

test('at most once: no call runs while the audit log has no room for its record', async t => {
	const {plain, platform, connect} = await startPlainAgent(t);
	platform.hasAuditRoom = false;
	const probe = connect();
	probe.send(0, {$case: 'start', start: createStart('a1')});
	assert.equal(await probe.read('refused', body => body.refused.reason), 'audit_full');
	assert.equal(plain.calls.length, 0);
});

test('configuration: an entry with a stale configuration is refused and gets the one in force', async t => {
	const {ctx, plain, connect} = await startPlainAgent(t);
	ctx.configuration.offer(createConfiguration(7));
	const probe = connect();
	probe.send(6, {$case: 'start', start: createStart('a1')});
	assert.equal(await probe.read('refused', body => body.refused.reason), 'stale_configuration');
	assert.equal(await probe.read('config', body => body.config.version), 7);
	assert.equal(plain.calls.length, 0);
});

test('configuration: an agent requests a newer configuration from the entry and never goes back to an older one', async t => {
	const {ctx, connect} = await startPlainAgent(t);
	ctx.configuration.offer(createConfiguration(7));
	const probe = connect();
	probe.send(8, {$case: 'heartbeat', heartbeat: {sequence: 1}});
	assert.equal(await probe.read('configRequest', body => body.configRequest.knownVersion), 7);
	for (const version of [8, 6]) {
		probe.send(8, {$case: 'config', config: {version, json: Buffer.from(JSON.stringify(createConfiguration(version)))}});
	}

	probe.send(8, {$case: 'tombstone', tombstone: {attemptId: 'a1'}});
	await probe.take('tombstoned');
	assert.equal(ctx.configuration.version(), 8);
});

test('leaving: a planned stop is reported to the entry and refuses new work until it is cancelled', async t => {
	const {ctx, plain, connect} = await startPlainAgent(t);
	const probe = connect();
	await probe.take('hello');
	const stop = {
		id: 's1', scope: 'instance', subject: 'agent-1', announcedAt: '2026-12-03T00:00:00Z',
	} as const;
	ctx.configuration.offer(createConfiguration(1, [stop]));
	assert.ok(await probe.read('leaving', body => body.leaving.leaving));
	probe.send(1, {$case: 'start', start: createStart('a1')});
	assert.equal(await probe.read('refused', body => body.refused.reason), 'leaving');
	ctx.configuration.offer(createConfiguration(2));
	assert.equal(await probe.read('leaving', body => body.leaving.leaving), false);
	probe.send(2, {$case: 'start', start: createStart('a2')});
	await plain.end(answerWith('booked'));
	await probe.take('end');
});

test('graceful shutdown: a drain waits for the call in flight and hands over the ledger, and a second call returns the same result', async t => {
	const {agent, ctx, plain, connect} = await startPlainAgent(t);
	const probe = connect();
	probe.send(0, {$case: 'start', start: createStart('a1', {idempotencyKey: 'k'})});
	await probe.take('accepted');
	const drains = [agent.drain(), agent.drain()];
	assert.ok(await probe.read('leaving', body => body.leaving.leaving));
	await plain.end(answerWith('booked'));
	await probe.take('end');
	const [report, secondReport] = await Promise.all(drains);
	assert.deepEqual(report, {
		waitedFor: 1, cutOff: 0, lastRequestId: 'request-of-a1', isLedgerHandedOver: true,
	});
	assert.equal(secondReport, report);
	const ledger = await readHandedOverLedger(ctx.objects, 'agent-1', 'run-1');
	assert.deepEqual(ledger.ok && ledger.value.map(entry => [entry.keyDigest, entry.state, String(entry.body)]), [[digestKey('workshop', 'k'), 'answered', 'booked']]);
});

test('link: a bad frame closes only the link of its entry', async t => {
	const {plain, connect} = await startPlainAgent(t);
	const [bad, good] = [connect(), connect()];
	await good.take('hello');
	bad.send(0, undefined);
	assert.match(await bad.ended, /bad_frame/v);
	good.send(0, {$case: 'start', start: createStart('a1')});
	await plain.end(answerWith('booked'));
	await good.take('end');
});

test('link: bytes that cannot be decoded close only the link of their sender', async t => {
	const {agent, ctx, plain, connect} = await startPlainAgent(t);
	const good = connect();
	const client = new Client(agent.linkAddress, ctx.linkAccess.channel, {'grpc.use_local_subchannel_pool': 1});
	t.after(() => {
		client.close();
	});
	const call = client.makeBidiStreamRequest(AgentLinkService.connect.path, (bytes: typeof MALFORMED_FRAME) => bytes, bytes => bytes, ctx.linkAccess.createMetadata());
	call.on('data', () => undefined);
	const ended = once(call, 'error');
	call.write(MALFORMED_FRAME);
	await ended;
	const counted = await ctx.metrics.rejectedConnections.get();
	assert.deepEqual(counted.values.map(value => value.labels.reason), ['bad_frame']);
	good.send(0, {$case: 'start', start: createStart('a1')});
	await plain.end(answerWith('booked'));
	await good.take('end');
});
