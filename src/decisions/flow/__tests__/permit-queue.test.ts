import assert from 'node:assert/strict';
import {test} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {createManualClock} from '../../../core/manual-clock.js';
import {createPermitQueue, type PermitDecision, type PermitRequest} from '../permit-queue.js';

const REQUEST: PermitRequest = {
	account: 'a', priority: 1, onTimeWaitMillis: 200, maxWaitMillis: 500,
};

function createHarness(limit: number) {
	const clock = createManualClock();
	const queue = createPermitQueue({clock, random: () => 0, readLimit: () => limit});
	const decided: string[] = [];
	const releaseByName = new Map<string, () => void>();
	const never = new AbortController();

	async function ask(name: string, req: Partial<PermitRequest> = {}, signal: AbortSignal = never.signal): Promise<PermitDecision> {
		const decision = await queue.admit({...REQUEST, ...req}, signal);
		decided.push(`${name} ${decision.tag}`);
		if (decision.tag === 'admitted') {
			releaseByName.set(name, decision.release);
		}

		return decision;
	}

	async function release(name: string): Promise<void> {
		releaseByName.get(name)?.();
		await nextTurn();
	}

	return {
		clock, queue, decided, ask, release,
	};
}

void test('requests are admitted and not refused while permits are free', async () => {
	const {ask, decided, queue} = createHarness(2);
	await ask('first');
	await ask('second');
	assert.deepEqual(decided, ['first admitted', 'second admitted']);
	assert.equal(queue.countInFlight(), 2);
});

void test('a burst is queued, urgent requests and accounts with fewer requests in flight first', async () => {
	const {ask, decided, release} = createHarness(2);
	await ask('staying', {account: 'large'});
	await ask('running', {account: 'large'});
	void ask('large again', {account: 'large'});
	void ask('small', {account: 'small'});
	void ask('urgent', {account: 'large', priority: 0});
	for (const name of ['running', 'urgent', 'small']) {
		// eslint-disable-next-line no-await-in-loop -- The requests must end one after the other.
		await release(name);
	}

	assert.deepEqual(decided.slice(2), ['urgent admitted', 'small admitted', 'large again admitted']);
});

void test('requests that can still be on time are ahead of late ones', async () => {
	const {ask, decided, release, clock} = createHarness(1);
	await ask('running');
	void ask('late', {onTimeWaitMillis: 0});
	clock.advance(10);
	void ask('on time');
	await release('running');
	await release('on time');
	assert.deepEqual(decided, ['running admitted', 'on time admitted', 'late admitted']);
});

void test('a request is refused at once when its expected wait is too long', async () => {
	const {ask, decided, release, clock} = createHarness(1);
	await ask('slow');
	clock.advance(2000);
	await release('slow');
	await ask('running');
	void ask('hopeless');
	await nextTurn();
	assert.deepEqual(decided.slice(2), ['hopeless refused'], 'a permit is held for 2 s, longer than the allowed wait');
});

void test('a waiting request is refused after its maximum wait, with a retry delay', async () => {
	const {ask, decided, clock} = createHarness(1);
	await ask('running');
	const waiting = ask('waiting');
	clock.advance(501);
	const decision = await waiting;
	assert.deepEqual(decided, ['running admitted', 'waiting refused']);
	assert.ok(decision.tag === 'refused' && decision.retryAfterMillis >= 300);
});

void test('a request whose caller disconnects leaves the queue', async () => {
	const {ask, queue} = createHarness(1);
	const abortController = new AbortController();
	await ask('running');
	const waiting = ask('leaving', {}, abortController.signal);
	abortController.abort();
	const decision = await waiting;
	assert.equal(decision.tag === 'refused' && decision.reason, 'withdrawn');
	assert.equal(queue.countWaiting(), 0);
});

void test('a permit is released only once', async () => {
	const {ask, release, queue} = createHarness(2);
	await ask('first');
	await ask('second');
	await release('first');
	await release('first');
	assert.equal(queue.countInFlight(), 1);
});
