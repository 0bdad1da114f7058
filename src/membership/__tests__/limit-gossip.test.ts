import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createWorld, SHARING_MILLIS} from './entry-world.js';

async function startEntries(count: number) {
	const world = createWorld();
	const entries = Array.from({length: count}, (_, i) => world.start(`e${String(i).padStart(2, '0')}`));
	await world.run(3000);
	const note = (i: number, requestsPerSecond: number | undefined) => {
		entries[i]!.limits.note({
			server: 's1', incarnation: 1, requestsPerSecond, sentAtMillis: world.clock.monotonicMillis(),
		});
	};

	return {
		world, entries, note, readLimits: () => entries.map(({limits}) => limits.read('s1')),
	};
}

for (const count of [2, 7, 34]) {
	void test(`a limit that one of ${count} entries sees, and its end, are known to all within two seconds`, async () => {
		const {world, note, readLimits} = await startEntries(count);
		note(0, 1.6);
		await world.run(2000);
		assert.deepEqual(new Set(readLimits()), new Set([1.6]));
		note(count - 1, undefined);
		await world.run(2000);
		assert.deepEqual(new Set(readLimits()), new Set([undefined]));
	});
}

void test('an entry that starts later, and one that was cut off, learn of a limit and of its end', async () => {
	const {world, entries, note} = await startEntries(4);
	world.cut.add('e03:8');
	note(0, 1.6);
	await world.run(2000);
	assert.equal(entries[3]!.limits.read('s1'), undefined);
	const late = world.start('e99');
	await world.run(2500);
	assert.equal(late.limits.read('s1'), 1.6);
	world.cut.delete('e03:8');
	await world.run(3000);
	assert.equal(entries[3]!.limits.read('s1'), 1.6);
	world.cut.add('e03:8');
	await world.run(1000);
	note(1, undefined);
	await world.run(1000);
	world.cut.delete('e03:8');
	await world.run(5000);
	assert.equal(entries[3]!.limits.read('s1'), undefined);
});

void test('limits of many backend servers are told in datagrams below the MTU of an Ethernet link', async () => {
	const {world, entries} = await startEntries(3);
	const sizes: number[] = [];
	world.watchDatagrams(size => {
		sizes.push(size);
	});
	for (let i = 0; i < 200; i++) {
		entries[0]!.limits.note({
			server: `engine-${i}`.padEnd(36, 'x'), incarnation: 1, requestsPerSecond: 1.25, sentAtMillis: world.clock.monotonicMillis(),
		});
	}

	await world.run(2000);
	assert.equal(entries[2]!.limits.list().length, 200);
	assert.ok(Math.max(...sizes) < 1472, `${Math.max(...sizes)} bytes`);
});

void test('entries on the smaller side of a partition leave the shares of the others to them, and those on the larger side take over', async () => {
	const {world, entries} = await startEntries(5);
	// Nobody hears e00 and e01, and these hear nobody.
	world.cut.add('e00:8');
	world.cut.add('e01:8');
	await world.run(SHARING_MILLIS + 8000);
	assert.deepEqual(entries[0]!.listLimitSharers().toSorted(), ['e00', 'e01', 'e02', 'e03', 'e04']);
	assert.deepEqual(entries[4]!.listLimitSharers().toSorted(), ['e02', 'e03', 'e04']);
	world.cut.clear();
	await world.run(8000);
	for (const entry of entries) {
		assert.deepEqual(entry.listLimitSharers().toSorted(), ['e00', 'e01', 'e02', 'e03', 'e04']);
	}
});

void test('an entry that has not joined the others, as the store is away, shares no limit', async () => {
	const world = createWorld();
	world.setStoreDown(true);
	const entry = world.start('e1');
	await world.run(2000);
	assert.deepEqual(entry.listLimitSharers(), []);
	world.setStoreDown(false);
	await world.run(8000);
	assert.deepEqual(entry.listLimitSharers(), ['e1']);
});

void test('an entry that drains leaves its share to the others', async () => {
	const {world, entries} = await startEntries(3);
	void entries[0]!.announceDraining();
	await world.run(1000);
	assert.deepEqual(entries[0]!.listLimitSharers(), []);
	assert.deepEqual(entries[1]!.listLimitSharers().toSorted(), ['e01', 'e02']);
});
