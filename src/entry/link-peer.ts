/** The task that keeps a link to one agent: dials, waits for the link's end, rests, and dials again. */
import type {InstanceId} from '../core/ids.js';
import {fail} from '../core/result.js';
import type {AgentLink, LinkContext, LinkOutcome} from '../ports/agent-link.js';
import {openAgentLink} from './agent-link.js';
import {REDIAL_MAX_MILLIS, REDIAL_MIN_MILLIS} from './link-constants.js';

/** A running task. */
export type LinkPeer = Readonly<{
	/** Settles with the outcome of the next try, which begins at once unless one is under way. */
	nextOutcome: () => Promise<LinkOutcome>;
}>;

/** What the task needs. */
export type LinkPeerDeps = Readonly<{
	ctx: LinkContext;
	agentId: InstanceId;
	/** Ends the task. */
	signal: AbortSignal;
	/** `host:port` to dial now. */
	findAddress: () => string;
	/** Whether to dial again after a link has ended, when nobody waits for one. */
	isWanted: () => boolean;
	/** Takes the link while it is open, undefined once it has ended. */
	publish: (link: AgentLink | undefined) => void;
	/** Called when the task ends. */
	onEnd: () => void;
	/** Uniform in [0, 1). */
	random: () => number;
}>;

/** Starts the task. */
export function startLinkPeer(deps: LinkPeerDeps): LinkPeer {
	const {ctx, signal} = deps;
	let waiting: ReadonlyArray<(outcome: LinkOutcome) => void> = [];
	let wakeUp = new AbortController();

	function report(outcome: LinkOutcome): void {
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

	async function dial(): Promise<LinkOutcome> {
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
		deps.publish(link);
		report({ok: true, value: link});
		await link.closed;
		deps.publish(undefined);
		ctx.observer.onClosed(link.hello);
	}

	async function run(): Promise<void> {
		let restMillis = REDIAL_MIN_MILLIS;
		do {
			/* eslint-disable no-await-in-loop -- One link after the other. */
			const outcome = await dial();
			if (outcome.ok) {
				restMillis = REDIAL_MIN_MILLIS;
				await hold(outcome.value);
			} else {
				restMillis = Math.min(REDIAL_MAX_MILLIS, restMillis * 2);
				report(outcome);
			}

			await rest(restMillis);
			/* eslint-enable no-await-in-loop */
		} while (!signal.aborted && (waiting.length > 0 || deps.isWanted()));

		deps.onEnd();
		report(fail({tag: 'unreachable', detail: `${deps.agentId} is not dialled any more`}));
	}

	void run();
	return {
		nextOutcome: async () => new Promise(resolve => {
			waiting = [...waiting, resolve];
			wakeUp.abort();
		}),
	};
}
