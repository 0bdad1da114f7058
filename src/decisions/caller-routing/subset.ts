import type {InstanceId} from '../../core/ids.js';
import {rankNodes, spreadOverDomains, type DomainNode} from './rendezvous.js';

/** Up to this number of agents, an entry links to all of them. */
const MAX_AGENTS_FOR_FULL_MESH = 48;
/** Minimum number of entries linked to each agent, in different failure domains if there are that many. */
export const MIN_ENTRIES_PER_AGENT = 5;
/** Minimum number of agents of each service that an entry links to, if there are that many. */
export const MIN_AGENTS_PER_SERVICE = 8;

/** An agent that entries may link to. */
export type LinkableAgent = DomainNode & Readonly<{service: string}>;

/** Chooses the entries that link to an agent in any case. */
export function chooseCoveringEntries<T extends DomainNode>(agentId: InstanceId, entries: readonly T[]): readonly T[] {
	return spreadOverDomains(rankNodes(agentId, entries), MIN_ENTRIES_PER_AGENT);
}

function groupByService(agents: readonly LinkableAgent[]): ReadonlyMap<string, readonly LinkableAgent[]> {
	const groups = new Map<string, readonly LinkableAgent[]>();
	for (const agent of agents) {
		groups.set(agent.service, [...(groups.get(agent.service) ?? []), agent]);
	}

	return groups;
}

/** Chooses the agents that an entry links to, by id. Every entry computes the same from the same list. */
export function chooseLinkedAgents(entryId: InstanceId, entries: readonly DomainNode[], agents: readonly LinkableAgent[]): ReadonlySet<InstanceId> {
	if (agents.length <= MAX_AGENTS_FOR_FULL_MESH) {
		return new Set(agents.map(agent => agent.id));
	}

	const linked = new Set<InstanceId>();
	for (const agent of agents) {
		if (chooseCoveringEntries(agent.id, entries).some(entry => entry.id === entryId)) {
			linked.add(agent.id);
		}
	}

	for (const group of groupByService(agents).values()) {
		for (const agent of spreadOverDomains(rankNodes(entryId, group), MIN_AGENTS_PER_SERVICE)) {
			linked.add(agent.id);
		}
	}

	return linked;
}
