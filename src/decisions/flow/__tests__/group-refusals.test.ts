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

void test('load of 72 engines of which a group of 24 stalls: one refusal keeps all others away from it', () => {
	const refusals = createGroupRefusals();
	const servers = createServers(1);
	let inVain = 0;
	for (let i = 0; i < 60; i++) {
		const [chosen] = refusals.excludeRefusing(servers, i * 10);
		if (chosen?.group.name === 'g0') {
			inVain++;
			refusals.note(chosen.group, i * 10);
		}
	}

	assert.equal(inVain, 1);
});

void test('a group is tried again after a while, and at once when it has formed anew', () => {
	const refusals = createGroupRefusals();
	refusals.note({name: 'g0', epoch: 1}, 1000);
	assert.equal(refusals.excludeRefusing(createServers(1), 1000).length, (GROUPS - 1) * RANKS);
	assert.equal(refusals.excludeRefusing(createServers(1), 1000 + GROUP_REFUSAL_TTL_MILLIS).length, GROUPS * RANKS);
	assert.equal(refusals.excludeRefusing(createServers(2), 1000).length, GROUPS * RANKS);
});

void test('where all groups refuse, and for plain services, nobody is left out', () => {
	const refusals = createGroupRefusals();
	refusals.note({name: 'g0', epoch: 1}, 0);
	const ofOne = createServers(1).slice(0, RANKS);
	assert.deepEqual(refusals.excludeRefusing(ofOne, 0), ofOne);
	const plain = [{id: 'p', group: undefined}];
	assert.deepEqual(refusals.excludeRefusing(plain, 0), plain);
});
