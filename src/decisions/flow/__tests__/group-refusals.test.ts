import assert from 'node:assert/strict';
import {test} from 'node:test';
import {GROUP_REFUSAL_TTL_MILLIS} from '../flow-constants.js';
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
