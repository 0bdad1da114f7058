import type {InstanceId} from '../../core/ids.js';
import type {DomainNode} from './rendezvous.js';
import {chooseLinkedAgents, type LinkableAgent} from './subset.js';

/** Chooses the linked agents of one entry, and computes them again only when the lists have changed. */
export type LinkedAgentsMemo = (entries: readonly DomainNode[], agents: readonly LinkableAgent[]) => ReadonlySet<InstanceId>;

function describe(entries: readonly DomainNode[], agents: readonly LinkableAgent[]): string {
	const entryLines = entries.map(({id, failureDomain}) => `${id} ${failureDomain}`).toSorted();
	const agentLines = agents.map(({id, failureDomain, service}) => `${id} ${failureDomain} ${service}`).toSorted();
	return [...entryLines, '', ...agentLines].join('\n');
}

/** Creates a memo that has chosen nothing yet. */
export function createLinkedAgentsMemo(entryId: InstanceId): LinkedAgentsMemo {
	let last: Readonly<{description: string; linked: ReadonlySet<InstanceId>}> | undefined;

	return (entries, agents) => {
		const description = describe(entries, agents);
		if (last?.description !== description) {
			last = {description, linked: chooseLinkedAgents(entryId, entries, agents)};
		}

		return last.linked;
	};
}
