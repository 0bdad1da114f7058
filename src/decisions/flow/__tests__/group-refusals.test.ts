import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GROUP_PROBE_INTERVAL_MILLIS, GROUP_REFUSAL_TTL_MILLIS, MAX_OUTAGE_WAITED_FOR_MILLIS} from '../flow-constants.js';
import {createGroupRefusals} from '../group-refusals.js';

const GROUPS = 3;
const RANKS = 24;

function createServers(epoch: number) {
	return Array.from({length: GROUPS * RANKS}, (_, i) => ({
		id: `s${i}`, group: {name: `g${Math.floor(i / RANKS)}`, epoch},
	}));
}

void test('when a group of 24 of 72 engines stalls, one refusal keeps further requests away from it', () => {
	const refusals = createGroupRefusals();
	const servers = createServers(1);
	let refused = 0;
	for (let i = 0; i < 60; i++) {
		const [chosen] = refusals.excludeRefusing(servers, i * 10);
		if (chosen?.group.name === 'g0') {
			refused++;
			refusals.note(chosen.group, i * 10);
		}
	}

	assert.equal(refused, 1);
});

void test('a group is tried again after a while, and at once when it has formed again', () => {
	const refusals = createGroupRefusals();
	refusals.note({name: 'g0', epoch: 1}, 1000);
	assert.equal(refusals.excludeRefusing(createServers(1), 1000).length, (GROUPS - 1) * RANKS);
	assert.equal(refusals.excludeRefusing(createServers(1), 1000 + GROUP_REFUSAL_TTL_MILLIS).length, GROUPS * RANKS);
	assert.equal(refusals.excludeRefusing(createServers(2), 1000).length, GROUPS * RANKS);
});

void test('no backend server is excluded when all groups refuse, nor for plain services', () => {
	const refusals = createGroupRefusals();
	refusals.note({name: 'g0', epoch: 1}, 0);
	const serversOfOneGroup = createServers(1).slice(0, RANKS);
	assert.deepEqual(refusals.excludeRefusing(serversOfOneGroup, 0), serversOfOneGroup);
	const plain = [{id: 'p', group: undefined}];
	assert.deepEqual(refusals.excludeRefusing(plain, 0), plain);
});

void test('while the only group is broken, one request in a while tries it, and the others do not use up their attempts', () => {
	const refusals = createGroupRefusals();
	const servers = createServers(1).slice(0, RANKS);
	assert.equal(refusals.tryAdmit(servers, 0), true);
	refusals.note({name: 'g0', epoch: 1}, 0);
	let sent = 0;
	for (let millis = 0; millis < 3000; millis += 10) {
		if (refusals.tryAdmit(servers, millis)) {
			sent++;
			refusals.note({name: 'g0', epoch: 1}, millis);
		}
	}

	assert.ok(sent > 0 && sent <= 3000 / GROUP_PROBE_INTERVAL_MILLIS, `${sent} requests of 300`);
	assert.equal(refusals.tryAdmit(createServers(2).slice(0, RANKS), 3000), true, 'the group has formed again');
	refusals.note({name: 'g0', epoch: 1}, 3000);
	refusals.noteServed({name: 'g0', epoch: 1});
	assert.equal(refusals.tryAdmit(servers, 3010), true, 'an event shows that it runs');
});

void test('requests are sent as usual while any group accepts them, to plain services, and after a long outage', () => {
	const refusals = createGroupRefusals();
	refusals.note({name: 'g0', epoch: 1}, 0);
	assert.equal(refusals.tryAdmit(createServers(1), 10), true);
	assert.equal(refusals.tryAdmit([{group: undefined}], 10), true);
	assert.equal(refusals.tryAdmit([], 10), true);
	assert.equal(refusals.tryAdmit(createServers(1).slice(0, RANKS), MAX_OUTAGE_WAITED_FOR_MILLIS), true);
});
