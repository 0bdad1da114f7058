import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../../core/manual-clock.js';
import {createPermitQueue, type PermitDecision, type PermitRequest} from '../permit-queue.js';

const REQUEST: PermitRequest = {
	account: 'a', priority: 1, onTimeWaitMillis: 200, maxWaitMillis: 500,
};

function createLane(limit: number) {
	const clock = createManualClock();
	const lane = createPermitQueue({clock, random: () => 0, readLimit: () => limit});
	const decided: string[] = [];
	const releases = new Map<string, () => void>();
	const never = new AbortController();

	async function ask(name: string, req: Partial<PermitRequest> = {}, signal: AbortSignal = never.signal): Promise<PermitDecision> {
		const decision = await lane.admit({...REQUEST, ...req}, signal);
		decided.push(`${name} ${decision.tag}`);
		if (decision.tag === 'admitted') {
			releases.set(name, decision.release);
		}

		return decision;
	}

	async function release(name: string): Promise<void> {
		releases.get(name)?.();
		await nextTurn();
	}

	return {
		clock, lane, decided, ask, release,
	};
}

void test('requests are admitted while there is room, and never refused then', async () => {
	const {ask, decided, lane} = createLane(2);
	await ask('first');
	await ask('second');
	assert.deepEqual(decided, ['first admitted', 'second admitted']);
	assert.equal(lane.countInFlight(), 2);
});

void test('a burst waits, the more urgent and the accounts with less in flight first', async () => {
	const {ask, decided, release} = createLane(2);
	await ask('staying', {account: 'large'});
	await ask('running', {account: 'large'});
	void ask('large again', {account: 'large'});
	void ask('small', {account: 'small'});
	void ask('urgent', {account: 'large', priority: 0});
	for (const name of ['running', 'urgent', 'small']) {
		// eslint-disable-next-line no-await-in-loop -- One end after the other.
		await release(name);
	}

	assert.deepEqual(decided.slice(2), ['urgent admitted', 'small admitted', 'large again admitted']);
});

void test('whoever can still be on time goes before whoever is late', async () => {
	const {ask, decided, release, clock} = createLane(1);
	await ask('running');
	void ask('late', {onTimeWaitMillis: 0});
	clock.advance(10);
	void ask('on time');
	await release('running');
	await release('on time');
	assert.deepEqual(decided, ['running admitted', 'on time admitted', 'late admitted']);
});

void test('lasting overload is refused at once when the wait is known to be too long', async () => {
	const {ask, decided, release, clock} = createLane(1);
	await ask('slow');
	clock.advance(2000);
	await release('slow');
	await ask('running');
	void ask('hopeless');
	await nextTurn();
	assert.deepEqual(decided.slice(2), ['hopeless refused'], 'the place is held for 2 s, longer than the wait allowed');
});

void test('a request that waited in vain is refused when its wait is over, with a time to come back', async () => {
	const {ask, decided, clock} = createLane(1);
	await ask('running');
	const waiting = ask('waiting');
	clock.advance(501);
	const decision = await waiting;
	assert.deepEqual(decided, ['running admitted', 'waiting refused']);
	assert.ok(decision.tag === 'refused' && decision.retryAfterMillis >= 300);
});

void test('a caller that leaves gives its place in the queue up', async () => {
	const {ask, lane} = createLane(1);
	const gone = new AbortController();
	await ask('running');
	const waiting = ask('leaving', {}, gone.signal);
	gone.abort();
	const decision = await waiting;
	assert.equal(decision.tag === 'refused' && decision.reason, 'withdrawn');
	assert.equal(lane.countWaiting(), 0);
});

void test('a place is given back once', async () => {
	const {ask, release, lane} = createLane(2);
	await ask('first');
	await ask('second');
	await release('first');
	await release('first');
	assert.equal(lane.countInFlight(), 1);
});
