import assert from 'node:assert/strict';
import {test, type TestContext} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {HEARTBEAT_INTERVAL_MILLIS, LINK_IDLE_TIMEOUT_MILLIS} from '../agent-constants.js';
import {startAgent} from '../start-agent.js';
import {createFakeContext, createSettings} from './fake-context.js';
import {answerWith, createFakePlainService} from './fake-plain-service.js';
import {createStart, openLinkProbe} from './link-probe.js';

const HEARTBEATS = (LINK_IDLE_TIMEOUT_MILLIS / HEARTBEAT_INTERVAL_MILLIS) + 1;

async function startOnManualClock(t: TestContext) {
	const clock = createManualClock();
	const {ctx} = createFakeContext('run-1', {clock});
	const plain = createFakePlainService();
	const started = await startAgent(ctx, createSettings(), {kind: 'plain', plain});
	assert.ok(started.ok);
	t.after(async () => {
		const closing = ctx.lifeCycle.shutdown();
		clock.advance(60_000);
		await closing;
	});
	const probe = openLinkProbe(started.value.linkAddress, ctx.linkAccess);
	t.after(probe.close);
	await probe.take('heartbeat');
	return {clock, plain, probe};
}

test('link timeout: the link of an entry that sends no frames is closed, and its call continues', async t => {
	const {clock, plain, probe} = await startOnManualClock(t);
	probe.send(0, {$case: 'start', start: createStart('a1')});
	await probe.take('accepted');
	for (let sequence = 1; sequence < HEARTBEATS; sequence += 1) {
		clock.advance(HEARTBEAT_INTERVAL_MILLIS);
		// eslint-disable-next-line no-await-in-loop
		await probe.take('heartbeat');
	}

	clock.advance(HEARTBEAT_INTERVAL_MILLIS);
	assert.match(await probe.ended, /silent/v);
	assert.equal(plain.calls.length, 1);
	await plain.end(answerWith('booked'));
});

test('link timeout: the link of an entry that sends heartbeats stays open', async t => {
	const {clock, probe} = await startOnManualClock(t);
	for (let sequence = 1; sequence <= HEARTBEATS * 2; sequence += 1) {
		probe.send(0, {$case: 'heartbeat', heartbeat: {sequence}});
		probe.send(0, {$case: 'tombstone', tombstone: {attemptId: `a${sequence}`}});
		// eslint-disable-next-line no-await-in-loop
		await probe.take('tombstoned');
		clock.advance(HEARTBEAT_INTERVAL_MILLIS);
		// eslint-disable-next-line no-await-in-loop
		await probe.take('heartbeat');
	}
});
