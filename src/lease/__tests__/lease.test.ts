import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../core/manual-clock.js';
import {createLease, type Lease} from '../lease.js';
import {createScriptedTableStore, type Fault} from './scripted-table-store.js';

const timing = {durationMillis: 1000, safetyMarginMillis: 200};

function setUp() {
	const clock = createManualClock();
	const table = createScriptedTableStore();
	const contend = (holder: string) => createLease({
		table, clock, name: 'group', holder, timing,
	});
	return {
		clock, table, first: contend('first'), second: contend('second'),
	};
}

async function isKept(lease: Lease): Promise<boolean> {
	const kept = await lease.renewOrAcquire();
	return kept.ok;
}

const acquisitions: ReadonlyArray<Readonly<{name: string; faults: readonly Fault[]; token: number | undefined; tag: string; nextToken: number}>> = [
	{
		name: 'no fault', faults: ['none', 'none'], token: 1, tag: 'ok', nextToken: 1,
	},
	{
		name: 'read fails', faults: ['unavailable'], token: undefined, tag: 'unavailable', nextToken: 1,
	},
	{
		name: 'write refused', faults: ['none', 'unavailable'], token: undefined, tag: 'unavailable', nextToken: 1,
	},
	{
		name: 'reply lost, written', faults: ['none', 'lost_after'], token: 1, tag: 'ok', nextToken: 1,
	},
	{
		name: 'reply lost, not written', faults: ['none', 'lost_before'], token: undefined, tag: 'lost', nextToken: 1,
	},
	{
		name: 'reply lost, written, read back fails', faults: ['none', 'lost_after', 'unavailable'], token: undefined, tag: 'unsettled', nextToken: 2,
	},
];

for (const {name, faults, token, tag, nextToken} of acquisitions) {
	test(`lease acquisition: ${name}`, async () => {
		const {table, first} = setUp();
		table.script(...faults);
		const result = await first.renewOrAcquire();
		assert.equal(result.ok ? 'ok' : result.error.tag, tag);
		assert.equal(first.currentToken(), token);
		await first.renewOrAcquire();
		assert.equal(first.currentToken(), nextToken);
	});
}

test('a lease is taken over only after a whole duration without a renewal, with a larger token', async () => {
	const {clock, first, second} = setUp();
	await first.renewOrAcquire();
	assert.equal(await isKept(second), false);
	clock.advance(700);
	await first.renewOrAcquire();
	clock.advance(700);
	assert.equal(await isKept(second), false, 'the renewal was seen only now');
	clock.advance(999);
	assert.equal(await isKept(second), false);
	assert.equal(first.currentToken(), undefined, 'the holder stopped before anybody may take over');
	clock.advance(1);
	assert.equal(await isKept(second), true);
	assert.equal(second.currentToken(), 2);
	assert.equal(await isKept(first), false);
});

test('validity counts from before the write was sent, and ends the margin early', async () => {
	const {clock, first} = setUp();
	await first.renewOrAcquire();
	clock.advance(799);
	assert.equal(first.currentToken(), 1);
	clock.advance(1);
	assert.equal(first.currentToken(), undefined);
});

test('a failed renewal keeps the old validity; an unsettled one ends it', async () => {
	const {clock, table, first} = setUp();
	await first.renewOrAcquire();
	clock.advance(100);
	table.script('unavailable');
	await first.renewOrAcquire();
	assert.equal(first.currentToken(), 1);
	table.script('lost_after', 'unavailable');
	await first.renewOrAcquire();
	assert.equal(first.currentToken(), undefined);
});

test('a released lease is free at once and its token grows on', async () => {
	const {first, second} = setUp();
	await first.renewOrAcquire();
	await first.release();
	assert.equal(first.currentToken(), undefined);
	await second.renewOrAcquire();
	assert.equal(second.currentToken(), 2);
});
