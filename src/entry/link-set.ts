/**
 * Links from this entry to its agents: one task per agent, which dials, waits for the link's end, and dials again.
 *
 * Agents outside the chosen subset are dialled when a request needs them.
 */
import type {Clock} from '../core/clock.js';
import type {InstanceId} from '../core/ids.js';
import type {LifeCycle} from '../core/life-cycle.js';
import {fail, succeed, type Result} from '../core/result.js';
import {createSnapshotStore} from '../core/snapshot-store.js';
import type {Instance, InstanceList} from '../ports/instance-list.js';
import type {
	AgentAddress, AgentLink, AgentLinks, LinkContext, LinkError, LinkResult,
} from '../ports/agent-link.js';
import {openAgentLink} from './agent-link.js';
import {INSTANCE_LIST_POLL_INTERVAL_MILLIS} from './link-constants.js';
import {startLinkConnector, type LinkConnector} from './link-connector.js';

/** What decides how many links there are and how long a failed one rests. */
export type LinkPolicy = Readonly<{
	/** The agents of the list that this entry keeps a link to. */
	chooseSubset: (instances: readonly Instance[]) => readonly Instance[];
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** Spreads a mean time over 50 % to 150 % of it. */
function jitter(millis: number, random: () => number): number {
	return millis * (0.5 + random());
}

/** Starts the tasks; they end with the life cycle. */
export function startLinkSet(ctx: LinkContext, instanceList: InstanceList, lifeCycle: LifeCycle, policy: LinkPolicy): AgentLinks {
	const {clock} = ctx;
	const listed = createSnapshotStore<readonly Instance[]>([]);
	const open = createSnapshotStore<ReadonlyMap<InstanceId, AgentLink>>(new Map());
	const peers = new Map<InstanceId, LinkConnector>();

	function publish(agentId: InstanceId, link: AgentLink | undefined): void {
		open.update(links => {
			const next = new Map(links);
			next.delete(agentId);
			return link ? next.set(agentId, link) : next;
		});
		ctx.metrics.links.set(open.read().size);
	}

	function addressOf(agent: AgentAddress): string {
		return listed.read().find(instance => instance.id === agent.agentId)?.linkAddress ?? agent.linkAddress;
	}

	function ensurePeer(agent: AgentAddress): LinkConnector {
		const {agentId} = agent;
		const present = peers.get(agentId);
		if (present) {
			return present;
		}

		const peer = startLinkConnector({
			ctx,
			agentId,
			signal: lifeCycle.signal,
			random: policy.random,
			findAddress: () => addressOf(agent),
			shouldReconnect: () => policy.chooseSubset(listed.read()).some(wanted => wanted.id === agentId),
			onLinkChange(link) {
				publish(agentId, link);
			},
			onStopped() {
				peers.delete(agentId);
			},
		});
		peers.set(agentId, peer);
		return peer;
	}

	async function pollInstances(): Promise<void> {
		while (!lifeCycle.signal.aborted) {
			/* eslint-disable no-await-in-loop -- A poll begins after the one before. */
			const read = await instanceList.list();
			if (read.ok) {
				listed.update(() => read.value);
				for (const agent of policy.chooseSubset(read.value)) {
					ensurePeer({agentId: agent.id, linkAddress: agent.linkAddress});
				}
			}

			await clock.sleep(jitter(INSTANCE_LIST_POLL_INTERVAL_MILLIS, policy.random), lifeCycle.signal);
			/* eslint-enable no-await-in-loop */
		}
	}

	lifeCycle.own('links', () => {
		for (const link of open.read().values()) {
			link.close('shutdown');
		}
	});
	void pollInstances();

	return {
		links: () => [...open.read().values()].filter(link => link.isOpen()),
		instances: listed.read,
		async connect(agent, millis) {
			const link = open.read().get(agent.agentId);
			if (link?.isOpen()) {
				return succeed(link);
			}

			if (addressOf(agent) === '') {
				return fail({tag: 'unreachable', detail: `${agent.agentId} is not listed`});
			}

			const peer = ensurePeer(agent);
			return withTimeout(clock, peer.nextConnectOutcome(), millis);
		},
	};
}

async function withTimeout(clock: Clock, outcome: Promise<LinkResult>, millis: number): Promise<LinkResult> {
	const stop = new AbortController();
	const timeout = clock.sleep(Math.max(0, millis), stop.signal)
		.then(() => fail<LinkError>({tag: 'unreachable', detail: 'no link in time'}));
	const first = await Promise.race([outcome, timeout]);
	stop.abort();
	return first;
}
