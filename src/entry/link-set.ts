/**
 * Links from this entry to its agents. One task per agent connects, waits until the link closes, and reconnects.
 *
 * Links to agents outside the chosen subset are opened when a request needs them.
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

/** Decides which links are kept open and supplies the jitter of their backoff. */
export type LinkPolicy = Readonly<{
	/** The listed agents that this entry keeps a link to. */
	chooseSubset: (instances: readonly Instance[]) => readonly Instance[];
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** A random time between 50 % and 150 % of `millis`. */
function jitter(millis: number, random: () => number): number {
	return millis * (0.5 + random());
}

/** Starts the tasks; they stop with the life cycle. */
export function startLinkSet(ctx: LinkContext, instanceList: InstanceList, lifeCycle: LifeCycle, policy: LinkPolicy): AgentLinks {
	const {clock} = ctx;
	const listed = createSnapshotStore<readonly Instance[]>([]);
	const open = createSnapshotStore<ReadonlyMap<InstanceId, AgentLink>>(new Map());
	const connectors = new Map<InstanceId, LinkConnector>();

	function setLink(agentId: InstanceId, link: AgentLink | undefined): void {
		open.update(links => {
			const next = new Map(links);
			next.delete(agentId);
			return link ? next.set(agentId, link) : next;
		});
		ctx.metrics.links.set(open.read().size);
	}

	function findLinkAddress(agent: AgentAddress): string {
		return listed.read().find(instance => instance.id === agent.agentId)?.linkAddress ?? agent.linkAddress;
	}

	function ensureConnector(agent: AgentAddress): LinkConnector {
		const {agentId} = agent;
		const existing = connectors.get(agentId);
		if (existing) {
			return existing;
		}

		const connector = startLinkConnector({
			ctx,
			agentId,
			signal: lifeCycle.signal,
			random: policy.random,
			findAddress: () => findLinkAddress(agent),
			shouldReconnect: () => policy.chooseSubset(listed.read()).some(chosen => chosen.id === agentId),
			onLinkChange(link) {
				setLink(agentId, link);
			},
			onStopped() {
				connectors.delete(agentId);
			},
		});
		connectors.set(agentId, connector);
		return connector;
	}

	async function pollInstances(): Promise<void> {
		while (!lifeCycle.signal.aborted) {
			/* eslint-disable no-await-in-loop -- Polls run one after the other. */
			const read = await instanceList.list();
			if (read.ok) {
				listed.update(() => read.value);
				for (const agent of policy.chooseSubset(read.value)) {
					ensureConnector({agentId: agent.id, linkAddress: agent.linkAddress});
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

			if (findLinkAddress(agent) === '') {
				return fail({tag: 'unreachable', detail: `${agent.agentId} is not listed`});
			}

			const connector = ensureConnector(agent);
			return withTimeout(clock, connector.nextConnectOutcome(), millis);
		},
	};
}

async function withTimeout(clock: Clock, outcome: Promise<LinkResult>, millis: number): Promise<LinkResult> {
	const timer = new AbortController();
	const timeout = clock.sleep(Math.max(0, millis), timer.signal)
		.then(() => fail<LinkError>({tag: 'unreachable', detail: 'timed out waiting for a link'}));
	const first = await Promise.race([outcome, timeout]);
	timer.abort();
	return first;
}
