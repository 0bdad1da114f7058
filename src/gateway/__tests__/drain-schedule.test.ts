import assert from 'node:assert/strict';
import {test} from 'node:test';
import fc from 'fast-check';
import {createDrainSchedule, mayTakeCall} from '../drain-schedule.js';

/** Time after a stop signal up to which a request may be cut off if it lasts to the end of the grace period, in milliseconds. */
const EXCUSED_MILLIS = 3000;

void test('a call that may last longer than its gateway is taken only while it may be cut off', () => {
	fc.assert(fc.property(fc.integer({min: 500, max: 60_000}), fc.nat(60_000), fc.nat(60_000), fc.boolean(), (graceMillis, arrivedAtMillis, timeoutMillis, isStreaming) => {
		const schedule = createDrainSchedule(0, graceMillis);
		const deadlineMillis = arrivedAtMillis + timeoutMillis;
		const endsInTime = deadlineMillis < graceMillis;
		const mayBeCutOff = isStreaming && arrivedAtMillis < EXCUSED_MILLIS;
		if (mayTakeCall(schedule, {isStreaming, arrivedAtMillis, deadlineMillis})) {
			assert.ok(endsInTime || mayBeCutOff);
		}
	}));
});

void test('a short call is taken for as long as new connections are accepted', () => {
	const schedule = createDrainSchedule(0, 8000);
	assert.ok(mayTakeCall(schedule, {isStreaming: false, arrivedAtMillis: schedule.listeningUntilMillis, deadlineMillis: schedule.listeningUntilMillis + 1500}));
});
