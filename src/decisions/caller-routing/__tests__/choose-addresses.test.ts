import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createManualClock} from '../../../core/manual-clock.js';
import type {Instance} from '../../../ports/instance-list.js';
import {createSeededRandom} from '../../random.js';
import {createAccountSizes} from '../account-size.js';
import {chooseAddresses} from '../choose-addresses.js';

function createEntry(i: number, state: Instance['state'] = 'live'): Instance {
	return {
		id: `entry-${i}`, role: 'entry', region: 'r', failureDomain: `domain-${i % 3}`, state, callerUrl: `http://10.0.0.${i}`, linkAddress: '', service: '', group: '', rank: -1,
	};
}

const entries = Array.from({length: 7}, (_, i) => createEntry(i));
const options = {count: 3, lifetimeMillis: 5000, random: createSeededRandom(1)};

function choose(account: string, instances: readonly Instance[], count = 3): readonly string[] {
	return chooseAddresses(account, instances, {...options, count}).addresses.map(address => address.instanceId);
}

test('the same addresses are chosen for any order of the list, over all failure domains', () => {
	const answer = chooseAddresses('a', entries, options);
	assert.deepEqual(choose('a', entries.toReversed()), answer.addresses.map(address => address.instanceId));
	assert.equal(new Set(answer.addresses.map(address => address.failureDomain)).size, 3);
	assert.ok(answer.lifetimeMillis <= 5000 && answer.lifetimeMillis >= 4000);
});

test('a draining entry is excluded, and accounts that did not use it keep their addresses', () => {
	for (let i = 0; i < 50; i++) {
		const before = choose(`account-${i}`, entries, 1);
		const after = choose(`account-${i}`, [createEntry(0, 'leaving'), ...entries.slice(1)], 1);
		assert.ok(!after.includes('entry-0'));
		assert.ok(before[0] === 'entry-0' || before[0] === after[0]);
	}
});

test('a longer list starts with the shorter one, agents are excluded, and no entries give no addresses', () => {
	assert.deepEqual(choose('a', entries, 5).slice(0, 3), choose('a', entries, 3));
	assert.deepEqual(choose('a', [{...createEntry(1), role: 'agent'}]), []);
	assert.deepEqual(choose('a', []), []);
});

test('a large account gets more addresses, at most one for each entry', () => {
	const clock = createManualClock();
	const sizes = createAccountSizes(clock);
	for (let i = 0; i < 100; i++) {
		sizes.noteRequest(i % 10 === 0 ? 'small' : 'large');
	}

	const read = (account: string) => Array.from({length: 5}, () => sizes.chooseAddressCount(account, 60)).at(-1) ?? 0;
	assert.ok(read('large') > 10);
	assert.equal(read('unknown'), 3);
	assert.equal(sizes.chooseAddressCount('large', 2), 2);
	assert.equal(sizes.chooseAddressCount('large', 0), 0);
});
