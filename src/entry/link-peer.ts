/** Task that maintains the link to one agent: connects, waits until the link closes, backs off, and reconnects. */
import type {InstanceId} from '../core/ids.js';
import {fail} from '../core/result.js';
import type {AgentLink, LinkContext, LinkOutcome} from '../ports/agent-link.js';
import {openAgentLink} from './agent-link.js';
import {REDIAL_MAX_MILLIS, REDIAL_MIN_MILLIS} from './link-constants.js';

/** A running connector. */
export type LinkPeer = Readonly<{
	/** Resolves with the outcome of the next connect, which starts at once unless one is in progress. */
	nextOutcome: () => Promise<LinkOutcome>;
}>;

/** Dependencies of a connector. */
export type LinkPeerDeps = Readonly<{
	ctx: LinkContext;
	agentId: InstanceId;
	/** Aborts when the task must stop. */
	signal: AbortSignal;
	/** `host:port` to connect to now. */
	findAddress: () => string;
	/** Whether to reconnect when no caller waits for the link. */
	isWanted: () => boolean;
	/** Called with the link when it opens, and with undefined when it has closed. */
	publish: (link: AgentLink | undefined) => void;
	/** Called when the task stops. */
	onEnd: () => void;
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** Starts a connector; its first connect starts at once. */
export function startLinkPeer(deps: LinkPeerDeps): LinkPeer {
	const {ctx, signal} = deps;
	let waiters: ReadonlyArray<(outcome: LinkOutcome) => void> = [];
	let backoffEnd = new AbortController();

	function settleWaiters(outcome: LinkOutcome): void {
		const settled = waiters;
		waiters = [];
		for (const resolve of settled) {
			resolve(outcome);
		}
	}

	async function backOff(meanMillis: number): Promise<void> {
		if (waiters.length > 0) {
			return;
		}

		backoffEnd = new AbortController();
		const millis = meanMillis * (0.5 + deps.random());
		await ctx.clock.sleep(millis, AbortSignal.any([backoffEnd.signal, signal]));
	}

	async function connect(): Promise<LinkOutcome> {
		const opened = await openAgentLink(ctx, deps.findAddress());
		if (!opened.ok) {
			return opened;
		}

		const link = opened.value;
		if (link.hello.instanceId === deps.agentId && !signal.aborted) {
			return opened;
		}

		link.close('not wanted');
		return fail({tag: 'unreachable', detail: `${link.address} belongs to ${link.hello.instanceId}, not to ${deps.agentId}`});
	}

	async function serveUntilClosed(link: AgentLink): Promise<void> {
		ctx.observer.onOpen(link.hello);
		deps.publish(link);
		settleWaiters({ok: true, value: link});
		await link.closed;
		deps.publish(undefined);
		ctx.observer.onClosed(link.hello);
	}

	async function run(): Promise<void> {
		let backoffMillis = REDIAL_MIN_MILLIS;
		do {
			/* eslint-disable no-await-in-loop -- One link at a time. */
			const outcome = await connect();
			if (outcome.ok) {
				backoffMillis = REDIAL_MIN_MILLIS;
				await serveUntilClosed(outcome.value);
			} else {
				backoffMillis = Math.min(REDIAL_MAX_MILLIS, backoffMillis * 2);
				settleWaiters(outcome);
			}

			await backOff(backoffMillis);
			/* eslint-enable no-await-in-loop */
		} while (!signal.aborted && (waiters.length > 0 || deps.isWanted()));

		deps.onEnd();
		settleWaiters(fail({tag: 'unreachable', detail: `the connector for ${deps.agentId} has stopped`}));
	}

	void run();
	return {
		nextOutcome: async () => new Promise(resolve => {
			waiters = [...waiters, resolve];
			backoffEnd.abort();
		}),
	};
}
