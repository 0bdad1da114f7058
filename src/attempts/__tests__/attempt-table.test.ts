import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createManualClock} from '../../core/manual-clock.js';
import {ATTEMPT_RETENTION_MILLIS} from '../attempt-constants.js';
import {createAttemptTable} from '../attempt-table.js';
import {isTombstoneProof} from '../tombstone-proof.js';

const SEED = 20_261_203;

test('not run: within its memory no attempt both starts and has a recorded tombstone, and none starts twice', () => {
	const step = fc.record({attempt: fc.nat(3), kind: fc.constantFrom('claim', 'tombstone', 'finish'), millis: fc.nat(1000)});
	fc.assert(fc.property(fc.array(step, {maxLength: 60}), fc.integer({min: 1, max: 4}), (steps, room) => {
		const clock = createManualClock();
		const table = createAttemptTable(clock, room);
		const started = new Set<number>();
		const tombstoned = new Set<number>();
		for (const {attempt, kind, millis} of steps) {
			clock.advance(millis);
			const id = `a${attempt}`;
			if (kind === 'claim' && table.tryStart(id) === 'claimed') {
				assert.ok(!started.has(attempt), 'started twice');
				started.add(attempt);
			}

			if (kind === 'tombstone' && table.recordTombstone(id)) {
				tombstoned.add(attempt);
			}

			if (kind === 'finish' && table.readState(id) === 'running') {
				table.finish(id, 'answered');
			}

			assert.deepEqual([...started].filter(other => tombstoned.has(other)), []);
		}
	}), {seed: SEED, numRuns: 2000});
});

test('not run: a table without room records no tombstone and starts nothing', () => {
	const table = createAttemptTable(createManualClock(), 1);
	assert.equal(table.tryStart('a1'), 'claimed');
	assert.equal(table.recordTombstone('a2'), false);
	assert.equal(table.tryStart('a3'), 'full');
});

test('not run: a tombstone is taken as proof only while the agent still remembers an attempt that ran', () => {
	fc.assert(fc.property(fc.nat(2 * ATTEMPT_RETENTION_MILLIS), ageMillis => {
		const clock = createManualClock();
		const table = createAttemptTable(clock);
		table.tryStart('a1');
		table.finish('a1', 'answered');
		clock.advance(ageMillis);
		assert.ok(!(table.recordTombstone('a1') && isTombstoneProof(ageMillis)));
	}), {seed: SEED});
	assert.ok(isTombstoneProof(0));
});

test('memory: ended attempts and tombstones are forgotten after their time, running ones never', () => {
	const clock = createManualClock();
	const table = createAttemptTable(clock, 3);
	table.tryStart('runs');
	table.tryStart('ends');
	table.finish('ends', 'answered');
	table.recordTombstone('buried');
	clock.advance(ATTEMPT_RETENTION_MILLIS);
	assert.deepEqual(['runs', 'ends', 'buried'].map(id => table.readState(id)), ['running', 'never_seen', 'never_seen']);
});
