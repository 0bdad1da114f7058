import assert from 'node:assert/strict';
import {test} from 'node:test';
import type {CrashRecord} from '../../decisions/quarantine/crash-record.js';
import {MAX_LOST_REQUESTS} from '../../decisions/quarantine/quarantine-constants.js';
import type {RequestQuarantine} from '../../decisions/quarantine/request-quarantine.js';
import {createWorld} from './entry-world.js';

type Clock = ReturnType<typeof createWorld>['clock'];

/** Records a request with the part `bad` that was sent 50 ms ago and lost in a crash. */
function noteCrash(quarantine: RequestQuarantine, clock: Clock, i: number): void {
	quarantine.noteLost({server: `s${i}`, incarnation: i}, {
		attemptId: `a${i}`, parts: ['bad', `x${i}`], fingerprint: `f${i}`, sentAtMillis: clock.monotonicMillis() - 50,
	});
}

function isQuarantined({quarantine}: Readonly<{quarantine: RequestQuarantine}>): boolean {
	return quarantine.judge({parts: ['other', 'bad', 'x9'], fingerprint: 'f9'}).tag === 'quarantined';
}

async function startEntries(count: number) {
	const world = createWorld();
	const entries = Array.from({length: count}, (_, i) => world.start(`e${i + 1}`));
	for (const entry of entries) {
		entry.setReady(true);
	}

	await world.run(2000);
	return {world, entries};
}

void test('crashes that different entries have seen are evidence for all of them at once', async () => {
	const {world, entries} = await startEntries(5);
	noteCrash(entries[0]!.quarantine, world.clock, 1);
	await world.run(200);
	noteCrash(entries[1]!.quarantine, world.clock, 2);
	await world.run(200);
	noteCrash(entries[4]!.quarantine, world.clock, 3);
	await world.run(20);
	assert.deepEqual(entries.map(entry => isQuarantined(entry)), [true, true, true, true, true]);
	entries[2]!.quarantine.noteSound({parts: ['bad'], fingerprint: 'f8'});
	await world.run(20);
	assert.deepEqual(entries.map(entry => isQuarantined(entry)), [false, false, false, false, false], 'a sound answer on the part releases it everywhere');
});

void test('an entry that starts later learns of the crashes before its first round of probes has ended', async () => {
	const {world, entries} = await startEntries(3);
	for (const i of [1, 2, 3]) {
		noteCrash(entries[0]!.quarantine, world.clock, i);
		// eslint-disable-next-line no-await-in-loop -- The crashes follow one another.
		await world.run(200);
	}

	const late = world.start('e4');
	await world.run(1000);
	assert.ok(isQuarantined(late));
});

void test('an entry that was cut off learns of the crashes when it is back', async () => {
	const {world, entries} = await startEntries(4);
	world.cut.add('e4:8');
	for (const i of [1, 2, 3]) {
		// eslint-disable-next-line no-await-in-loop -- The crashes follow one another.
		await world.run(3000);
		noteCrash(entries[0]!.quarantine, world.clock, i);
	}

	await world.run(200);
	assert.equal(isQuarantined(entries[3]!), false);
	world.cut.delete('e4:8');
	await world.run(2500);
	assert.ok(isQuarantined(entries[3]!));
});

void test('crashes with many lost requests are told in datagrams below the MTU of an Ethernet link', async () => {
	const {world, entries} = await startEntries(3);
	const sizes: number[] = [];
	world.watchDatagrams(size => {
		sizes.push(size);
	});
	const lost = Array.from({length: MAX_LOST_REQUESTS}, (_, i) => ({
		attemptId: `attempt-${String(i).padStart(8, '0')}`, fingerprint: `${i}`.padStart(16, '0'), parts: Array.from({length: 8}, (__, j) => `${i}-${j}`.padStart(8, '0')), sentAtMillis: 0,
	}));
	for (const request of lost) {
		entries[0]!.quarantine.noteLost({server: 'i-0123456789', incarnation: 1}, request);
	}

	const late = world.start('e4');
	await world.run(1500);
	const merged: CrashRecord | undefined = late.quarantine.listCrashes()[0];
	assert.equal(merged?.lost.length, lost.length);
	assert.ok(Math.max(...sizes) < 1400, `largest datagram ${Math.max(...sizes)} bytes`);
});
