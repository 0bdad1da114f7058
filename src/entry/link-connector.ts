/** The task that keeps a link to one agent: dials, waits for the link's end, rests, and dials again. */
import type {InstanceId} from '../core/ids.js';
import {fail} from '../core/result.js';
import type {AgentLink, LinkContext, LinkResult} from '../ports/agent-link.js';
import {openAgentLink} from './agent-link.js';
import {RECONNECT_BACKOFF_MAX_MILLIS, RECONNECT_BACKOFF_MIN_MILLIS} from './link-constants.js';

/** A running task. */
export type LinkConnector = Readonly<{
	/** Settles with the outcome of the next try, which begins at once unless one is under way. */
	nextConnectOutcome: () => Promise<LinkResult>;
}>;

/** What the task needs. */
export type LinkConnectorDeps = Readonly<{
	ctx: LinkContext;
	agentId: InstanceId;
	/** Ends the task. */
	signal: AbortSignal;
	/** `host:port` to dial now. */
	findAddress: () => string;
	/** Whether to dial again after a link has ended, when nobody waits for one. */
	shouldReconnect: () => boolean;
	/** Takes the link while it is open, undefined once it has ended. */
	onLinkChange: (link: AgentLink | undefined) => void;
	/** Called when the task ends. */
	onStopped: () => void;
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** Starts the task. */
export function startLinkConnector(deps: LinkConnectorDeps): LinkConnector {
	const {ctx, signal} = deps;
	let waiting: ReadonlyArray<(outcome: LinkResult) => void> = [];
	let wakeUp = new AbortController();

	function report(outcome: LinkResult): void {
		const settled = waiting;
		waiting = [];
		for (const resolve of settled) {
			resolve(outcome);
		}
	}

	async function rest(meanMillis: number): Promise<void> {
		if (waiting.length > 0) {
			return;
		}

		wakeUp = new AbortController();
		const millis = meanMillis * (0.5 + deps.random());
		await ctx.clock.sleep(millis, AbortSignal.any([wakeUp.signal, signal]));
	}

	async function dial(): Promise<LinkResult> {
		const opened = await openAgentLink(ctx, deps.findAddress());
		if (!opened.ok) {
			return opened;
		}

		const link = opened.value;
		if (link.hello.instanceId === deps.agentId && !signal.aborted) {
			return opened;
		}

		link.close('not wanted');
		return fail({tag: 'unreachable', detail: `${link.address} is ${link.hello.instanceId}, not ${deps.agentId}`});
	}

	async function hold(link: AgentLink): Promise<void> {
		ctx.observer.onOpen(link.hello);
		deps.onLinkChange(link);
		report({ok: true, value: link});
		await link.closed;
		deps.onLinkChange(undefined);
		ctx.observer.onClosed(link.hello);
	}

	async function run(): Promise<void> {
		let restMillis = RECONNECT_BACKOFF_MIN_MILLIS;
		do {
			/* eslint-disable no-await-in-loop -- One link after the other. */
			const outcome = await dial();
			if (outcome.ok) {
				restMillis = RECONNECT_BACKOFF_MIN_MILLIS;
				await hold(outcome.value);
			} else {
				restMillis = Math.min(RECONNECT_BACKOFF_MAX_MILLIS, restMillis * 2);
				report(outcome);
			}

			await rest(restMillis);
			/* eslint-enable no-await-in-loop */
		} while (!signal.aborted && (waiting.length > 0 || deps.shouldReconnect()));

		deps.onStopped();
		report(fail({tag: 'unreachable', detail: `${deps.agentId} is not dialled any more`}));
	}

	void run();
	return {
		nextConnectOutcome: async () => new Promise(resolve => {
			waiting = [...waiting, resolve];
			wakeUp.abort();
		}),
	};
}
