import assert from 'node:assert/strict';
import {test} from 'node:test';
import {createLinkedAgentsMemo} from '../linked-agents-memo.js';
import {chooseLinkedAgents, MIN_AGENTS_PER_SERVICE, MIN_ENTRIES_PER_AGENT} from '../subset.js';

const entries = Array.from({length: 40}, (_, i) => ({id: `entry-${i}`, failureDomain: `domain-${i % 7}`}));
const agents = Array.from({length: 90}, (_, i) => ({id: `agent-${i}`, failureDomain: `domain-${i % 7}`, service: `service-${i % 3}`}));

test('an entry links to all agents when there are few', () => {
	assert.equal(chooseLinkedAgents('entry-0', entries, agents.slice(0, 15)).size, 15);
});

test('every agent is linked from enough failure domains, and every entry has enough agents of each service', () => {
	const domains = new Map<string, Set<string>>();
	for (const entry of entries) {
		const linked = chooseLinkedAgents(entry.id, entries, agents);
		for (let service = 0; service < 3; service++) {
			const count = agents.filter(agent => agent.service === `service-${service}` && linked.has(agent.id)).length;
			assert.ok(count >= MIN_AGENTS_PER_SERVICE);
		}

		for (const agentId of linked) {
			domains.set(agentId, (domains.get(agentId) ?? new Set()).add(entry.failureDomain));
		}
	}

	assert.ok(agents.every(agent => (domains.get(agent.id)?.size ?? 0) >= MIN_ENTRIES_PER_AGENT));
});

test('links are recomputed only when the lists have changed', () => {
	const choose = createLinkedAgentsMemo('entry-0');
	const first = choose(entries, agents);
	assert.equal(choose(entries.toReversed(), agents.map(agent => ({...agent}))), first);
	const fewer = choose(entries, agents.slice(1));
	assert.notEqual(fewer, first);
	assert.deepEqual(fewer, chooseLinkedAgents('entry-0', entries, agents.slice(1)));
});
