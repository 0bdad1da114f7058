import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createSharedRetryBudget} from '../../decisions/retry/shared-retry-budget.js';
import {createSeededRandom} from '../../decisions/random.js';
import {createWorld, SHARING_MILLIS} from './entry-world.js';

const OPTIONS = {ratio: 0.2, extra: 40, windowMillis: 10_000} as const;
const STEP_MILLIS = 100;

/** Retries that each entry has taken, with their times. */
async function playRetries(count: number, cutCount: number): Promise<readonly number[]> {
	const world = createWorld();
	const entries = Array.from({length: count}, (_, i) => world.start(`e${i}`));
	await world.run(3000);
	const budgets = entries.map((entry, i) => createSharedRetryBudget({
		clock: world.clock, random: createSeededRandom(i), options: OPTIONS, countProcesses: entry.countRetrySharers,
	}));
	for (let i = 0; i < cutCount; i++) {
		world.cut.add(`e${i}:8`);
	}

	const takenAtMillis: number[] = [];
	for (let leftMillis = SHARING_MILLIS + (3 * OPTIONS.windowMillis); leftMillis > 0; leftMillis -= STEP_MILLIS) {
		// eslint-disable-next-line no-await-in-loop -- Time advances in small steps.
		await world.run(STEP_MILLIS);
		for (const budget of budgets) {
			while (budget.tryTake()) {
				takenAtMillis.push(world.clock.monotonicMillis());
			}
		}
	}

	return takenAtMillis;
}

function readMaxInWindow(atMillis: readonly number[]): number {
	return Math.max(...atMillis.map((startMillis, i) => atMillis.slice(i).filter(millis => millis <= startMillis + OPTIONS.windowMillis).length));
}

for (const {count, cutCount} of [{count: 6, cutCount: 0}, {count: 6, cutCount: 2}, {count: 6, cutCount: 3}, {count: 3, cutCount: 3}]) {
	void test(`${count} entries together stay within the retry budget while ${cutCount} of them do not hear any other`, async () => {
		const taken = await playRetries(count, cutCount);
		assert.ok(readMaxInWindow(taken) <= OPTIONS.extra, `${readMaxInWindow(taken)} retries in a window, ${OPTIONS.extra} are allowed`);
		assert.ok(readMaxInWindow(taken) >= OPTIONS.extra / 4);
	});
}

void test('an entry that knows no others yet retries nothing, and a draining one keeps its part', async () => {
	const world = createWorld();
	world.setStoreDown(true);
	const entry = world.start('e1');
	await world.run(1000);
	assert.equal(entry.countRetrySharers(), Infinity);
	world.setStoreDown(false);
	await world.run(8000);
	assert.equal(entry.countRetrySharers(), 1);
	void entry.announceDraining();
	assert.equal(entry.countRetrySharers(), 1);
});
