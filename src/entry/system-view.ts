/** What this entry knows about all instances: configuration version, drain state, requests in flight. */
import type {ConfigVersion, InstanceId} from '../core/ids.js';
import type {Instance} from '../ports/instance-list.js';
import {type AgentLink, type AgentLinks} from '../ports/agent-link.js';
import type {EntryPeers} from './entry-peers.js';

/** One instance as this entry sees it. */
export type InstanceView = Readonly<{
	instanceId: InstanceId;
	role: Instance['role'];
	failureDomain: string;
	/** Configuration version; 0 when the instance is unreachable. */
	version: ConfigVersion;
	leaving: boolean;
	/** Whether this entry reached the instance. */
	linked: boolean;
	inFlight: number;
}>;

/** Sources of the view. */
export type SystemViewDeps = Readonly<{links: AgentLinks; peers: EntryPeers; failureDomain: string}>;

function viewAgent(instance: Instance, link: AgentLink | undefined): InstanceView {
	return {
		instanceId: instance.id,
		role: 'agent',
		failureDomain: instance.failureDomain,
		version: link?.peerVersion() ?? 0,
		leaving: instance.state === 'leaving' || (link?.isDraining() ?? false),
		linked: link !== undefined,
		inFlight: link?.load()?.report.inFlight ?? 0,
	};
}

/** Reads the state of this entry, of the other listed entries and of the listed agents. */
export async function readSystemView({links, peers, failureDomain}: SystemViewDeps): Promise<readonly InstanceView[]> {
	const own = peers.ownState();
	const states = await peers.readStates();
	const entries = states.map(({instance, state}): InstanceView => ({
		instanceId: instance.id,
		role: 'entry',
		failureDomain: instance.failureDomain,
		version: state?.configVersion ?? 0,
		leaving: instance.state === 'leaving' || (state?.leaving ?? false),
		linked: state !== undefined,
		inFlight: state?.inFlight ?? 0,
	}));
	const linksById = new Map(links.links().map(link => [link.hello.instanceId, link]));
	const agents = links.instances()
		.filter(instance => instance.role === 'agent')
		.map(instance => viewAgent(instance, linksById.get(instance.id)));
	return [
		{
			instanceId: own.instanceId, role: 'entry', failureDomain, version: own.configVersion, leaving: own.leaving, linked: true, inFlight: own.inFlight,
		},
		...entries,
		...agents,
	];
}
