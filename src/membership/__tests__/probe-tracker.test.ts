import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createProbeTracker, type ProbeTracker} from '../probe-tracker.js';

const ACK_MILLIS = 100;

/** Wait for the answer to a probe that starts now, in milliseconds. */
function readTimeout(probes: ProbeTracker): number {
	const sequence = probes.start({target: 'other', isOnRing: true, wasAlone: false}, 0);
	const dueMillis = probes.nextDueMillis();
	probes.noteAnswer(sequence);
	return dueMillis;
}

void test('answers to one probe over several paths do not make the entry take itself for slow', () => {
	const probes = createProbeTracker(ACK_MILLIS);
	const sequence = probes.start({target: 'a', isOnRing: true, wasAlone: false}, 0);
	probes.startIndirect(probes.listDue(ACK_MILLIS)[0]!, ACK_MILLIS);
	for (let path = 0; path < 4; path++) {
		probes.noteAnswer(sequence);
	}

	assert.equal(readTimeout(probes), ACK_MILLIS);
});

void test('an answer to a probe that was given up makes the entry wait longer, once', () => {
	const probes = createProbeTracker(ACK_MILLIS);
	const sequence = probes.start({target: 'a', isOnRing: true, wasAlone: false}, 0);
	probes.end(sequence);
	probes.noteAnswer(sequence);
	probes.noteAnswer(sequence);
	assert.equal(readTimeout(probes), 2 * ACK_MILLIS);
	assert.equal(readTimeout(probes), ACK_MILLIS, 'an answer in time ends that');
});
