import assert from 'node:assert/strict';
import {test} from 'node:test';
import {findLineFault} from '../../observability/line-schemas.js';
import {silentLog, type LogContext} from '../../observability/log.js';
import {createWorld, DEAD_MILLIS, SHARING_MILLIS} from './entry-world.js';

function assertShares(entries: ReadonlyArray<Readonly<{countCapacityShares: () => number}> | undefined>, expected: readonly number[]): void {
	for (const [i, entry] of entries.entries()) {
		const shares = entry?.countCapacityShares() ?? 0;
		assert.ok(Math.abs((1 / shares) - (expected[i] ?? 0)) < 1e-6, `entry ${i} has 1 / ${shares}`);
	}
}

/** Guards against permits that are claimed twice, or by nobody, when entries of unequal capacity come and go. */
void test('the shares of unequal entries follow their capacities, also after one joins and one dies', async () => {
	const world = createWorld();
	const lines: LogContext[] = [];
	const log = {
		...silentLog, info(message: string, ctx: LogContext = {}) {
			if (message === 'caller share') {
				assert.equal(findLineFault(message, ctx), undefined);
				lines.push(ctx);
			}
		},
	};
	const entries = [1, 1, 1, 1].map((cpuCores, i) => world.start(`e${i}`, i === 0 ? log : silentLog, {cpuCores}));
	await world.run(2000);
	assert.deepEqual(entries.map(entry => entry.countCapacityShares()), [4, 4, 4, 4], 'equal capacities divide as a number of entries');
	assert.equal(lines.length, 0);
	const changes = entries[0]?.countChanges() ?? 0;
	const small = world.start('small', silentLog, {cpuCores: 0.5});
	await world.run(2000);
	assertShares([...entries, small], [2, 2, 2, 2, 1].map(weight => weight / 9));
	assert.ok((entries[0]?.countChanges() ?? 0) > changes);
	assert.deepEqual(lines.at(-1), {share: 2 / 9, entries: 5, isByCapacity: true});
	small.kill();
	await world.run(DEAD_MILLIS);
	assertShares(entries, [2, 2, 2, 2].map(weight => weight / 9));
	await world.run(SHARING_MILLIS);
	assert.deepEqual(entries.map(entry => entry.countCapacityShares()), [4, 4, 4, 4]);
	assert.equal(lines.at(-1)?.isByCapacity, false);
});

/** Guards against shares that add up to more than all while a process of an older version, which drops capacities, passes claims on. */
void test('during an upgrade, entries learn the capacities of each other from themselves, and an older one counts as typical', async () => {
	const world = createWorld();
	const older = ['o1', 'o2', 'o3'].map(id => {
		world.withoutCapacities.add(`${id}:8`);
		return world.start(id);
	});
	await world.run(1000);
	const newer = [4, 2, 2, 1].map((cpuCores, i) => world.start(`n${i}`, silentLog, {cpuCores}));
	await world.run(20_000);
	assert.equal(older.length, 3);
	assertShares(newer, [4, 2, 2, 1].map(weight => weight / 15));
});
