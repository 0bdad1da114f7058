import assert from 'node:assert/strict';
import {test} from 'node:test';
import {MAX_OUTAGE_WAITED_FOR_MILLIS} from '../flow-constants.js';
import {createServiceAvailability, chooseReturnWaitMillis} from '../service-return.js';

/** Time after which callers give up a stream without an event, in milliseconds. */
const CALLER_PATIENCE_MILLIS = 2000;

void test('a request that waits for a service leaves time for its first event and for being served', () => {
	assert.ok(chooseReturnWaitMillis(8000) <= CALLER_PATIENCE_MILLIS - 500);
	assert.ok(chooseReturnWaitMillis(1000) <= 500);
	assert.ok(chooseReturnWaitMillis() <= CALLER_PATIENCE_MILLIS);
});

void test('requests wait in a short outage and after a restart, but not for a service that stays away', () => {
	const availability = createServiceAvailability(0);
	assert.equal(availability.isReturnExpected(800), true, 'the list of backend servers has not been read yet');
	availability.note(true, 1000);
	assert.equal(availability.isReturnExpected(1000), false);
	availability.note(false, 60_000);
	availability.note(false, 62_000);
	assert.equal(availability.isReturnExpected(62_000), true);
	assert.equal(availability.isReturnExpected(60_000 + MAX_OUTAGE_WAITED_FOR_MILLIS), false, 'it is known not to be servable');
});
