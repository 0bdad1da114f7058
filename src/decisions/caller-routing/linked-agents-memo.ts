import type {InstanceId} from '../../core/ids.js';
import type {DomainNode} from './rendezvous.js';
import {chooseLinkedAgents, type LinkableAgent} from './subset.js';

/** Chooses the linked agents of one entry; recomputes them only when the lists have changed. */
export type LinkedAgentsMemo = (entries: readonly DomainNode[], agents: readonly LinkableAgent[]) => ReadonlySet<InstanceId>;

function serializeInputs(entries: readonly DomainNode[], agents: readonly LinkableAgent[]): string {
	const entryLines = entries.map(({id, failureDomain}) => `${id} ${failureDomain}`).toSorted();
	const agentLines = agents.map(({id, failureDomain, service}) => `${id} ${failureDomain} ${service}`).toSorted();
	return [...entryLines, '', ...agentLines].join('\n');
}

/** Creates an empty memo. */
export function createLinkedAgentsMemo(entryId: InstanceId): LinkedAgentsMemo {
	let last: Readonly<{inputs: string; linked: ReadonlySet<InstanceId>}> | undefined;

	return (entries, agents) => {
		const inputs = serializeInputs(entries, agents);
		if (last?.inputs !== inputs) {
			last = {inputs, linked: chooseLinkedAgents(entryId, entries, agents)};
		}

		return last.linked;
	};
}
