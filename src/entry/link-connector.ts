/** Task that maintains the link to one agent: connects, waits until the link closes, backs off, and reconnects. */
import type {InstanceId} from '../core/ids.js';
import {fail} from '../core/result.js';
import type {AgentLink, LinkContext, LinkResult} from '../ports/agent-link.js';
import {openAgentLink} from './agent-link.js';
import {RECONNECT_BACKOFF_MAX_MILLIS, RECONNECT_BACKOFF_MIN_MILLIS} from './link-constants.js';

/** A running connector. */
export type LinkConnector = Readonly<{
	/** Resolves with the outcome of the next connect, which starts immediately unless one is in progress. */
	nextConnectOutcome: () => Promise<LinkResult>;
}>;

/** Dependencies of a connector. */
export type LinkConnectorDeps = Readonly<{
	ctx: LinkContext;
	agentId: InstanceId;
	/** Aborts when the task must stop. */
	signal: AbortSignal;
	/** `host:port` to connect to now. */
	findAddress: () => string;
	/** Whether to reconnect when no caller waits for the link. */
	shouldReconnect: () => boolean;
	/** Called with the link when it opens, and with undefined when it has closed. */
	onLinkChange: (link: AgentLink | undefined) => void;
	/** Called when the task stops. */
	onStopped: () => void;
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** Starts a connector; its first connect starts immediately. */
export function startLinkConnector(deps: LinkConnectorDeps): LinkConnector {
	const {ctx, signal} = deps;
	let waiters: ReadonlyArray<(outcome: LinkResult) => void> = [];
	let backoffEnd = new AbortController();

	function settleWaiters(outcome: LinkResult): void {
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

	async function connect(): Promise<LinkResult> {
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
		deps.onLinkChange(link);
		settleWaiters({ok: true, value: link});
		await link.closed;
		deps.onLinkChange(undefined);
		ctx.observer.onClosed(link.hello);
	}

	async function run(): Promise<void> {
		let backoffMillis = RECONNECT_BACKOFF_MIN_MILLIS;
		do {
			/* eslint-disable no-await-in-loop -- One link at a time. */
			const outcome = await connect();
			if (outcome.ok) {
				backoffMillis = RECONNECT_BACKOFF_MIN_MILLIS;
				await serveUntilClosed(outcome.value);
			} else {
				backoffMillis = Math.min(RECONNECT_BACKOFF_MAX_MILLIS, backoffMillis * 2);
				settleWaiters(outcome);
			}

			await backOff(backoffMillis);
			/* eslint-enable no-await-in-loop */
		} while (!signal.aborted && (waiters.length > 0 || deps.shouldReconnect()));

		deps.onStopped();
		settleWaiters(fail({tag: 'unreachable', detail: `the connector for ${deps.agentId} has stopped`}));
	}

	void run();
	return {
		nextConnectOutcome: async () => new Promise(resolve => {
			waiters = [...waiters, resolve];
			backoffEnd.abort();
		}),
	};
}
