import assert from 'node:assert/strict';
import {test} from 'node:test';
import {runFaults} from '../run-faults.js';

/** This seed draws stops, kills and cut links (alone, together and twice), an outage of the table, and a planned stop. */
const SEED = 4;
const ROUNDS = 5;

test('every promise holds with separate processes under randomly drawn faults', async () => {
	const summary = await runFaults(SEED, ROUNDS, console.log);
	assert.deepEqual(summary.broken, []);
	assert.equal(summary.rounds, ROUNDS);
	assert.ok((summary.outcomes.answered ?? 0) > 0);
	assert.ok(summary.auditRecords > 0);
});
