/** Interface of a link to an agent, and what a link takes from its process. */
import type {LinkAccess} from '../access/link-access.js';
import type {ConfigurationHolder} from '../configuration/configuration-holder.js';
import type {Clock} from '../core/clock.js';
import type {
	AttemptId, ConfigVersion, Incarnation, InstanceId,
} from '../core/ids.js';
import type {Mailbox} from '../core/mailbox.js';
import type {Result} from '../core/result.js';
import type {Log} from '../observability/log.js';
import type {Metrics} from '../observability/metrics.js';
import type {
	AgentHello, AttemptQuery, AttemptStatus, LoadReport, StartAttempt, TombstoneReply,
} from '../wire/generated/link.js';
import type {AttemptEvent} from './attempt-event.js';
import type {Instance} from './instance-list.js';

/** A load report of the agent and the monotonic time at which it arrived, in milliseconds. */
export type ReceivedLoad = Readonly<{report: LoadReport; atMillis: number}>;

/** Why a link could not be opened. Nothing was sent except the hello. */
export type LinkError = Readonly<{tag: 'unreachable' | 'no_hello'; detail: string}>;

/** An open link to one agent. */
export type AgentLink = Readonly<{
	hello: AgentHello;
	address: string;
	isOpen: () => boolean;
	/** Resolves when the link has closed, for any reason. */
	closed: Promise<void>;
	/** Whether the agent has announced that it accepts no new work. */
	isDraining: () => boolean;
	/** Configuration version in the agent's last frame. */
	peerVersion: () => ConfigVersion;
	load: () => ReceivedLoad | undefined;
	/** Number of attempts in flight on this link. */
	inFlight: () => number;
	/** Sends the attempt; returns undefined when the link is closed, in which case nothing was written. */
	start: (attempt: StartAttempt) => Mailbox<AttemptEvent> | undefined;
	/** Stops tracking an attempt; its later frames are dropped and counted. */
	forget: (attemptId: AttemptId) => void;
	/** Asks the agent to stop an attempt whose answer is no longer needed. */
	cancel: (attemptId: AttemptId) => void;
	/** Asks the agent never to start the attempt; resolves to undefined when no reply arrives in time. */
	tombstone: (attemptId: AttemptId, millis: number) => Promise<TombstoneReply | undefined>;
	/** Asks for the state of an attempt or an idempotency key; resolves to undefined when no reply arrives in time. */
	query: (query: AttemptQuery, millis: number) => Promise<AttemptStatus | undefined>;
	close: (cause: string) => void;
}>;

/** Result of one try to open a link. */
export type LinkResult = Result<AgentLink, LinkError>;

/** Id and link address of an agent. */
export type AgentAddress = Readonly<{
	agentId: InstanceId;
	/** `host:port`, used while the instance list does not contain the agent; empty when only the list may be used. */
	linkAddress: string;
}>;

/** The links from this entry to agents. */
export type AgentLinks = {
	readonly links: () => readonly AgentLink[];
	/** Returns the open link to the agent, or waits at most `millis` for the result of the next try to open one. */
	readonly connect: (agent: AgentAddress, millis: number) => Promise<LinkResult>;
	/** The instance list as last read; empty before the first read. */
	readonly instances: () => readonly Instance[];
};

/** Dependencies of a link. */
export type LinkContext = Readonly<{
	instanceId: InstanceId;
	incarnation: Incarnation;
	failureDomain: string;
	clock: Clock;
	log: Log;
	metrics: Metrics;
	linkAccess: LinkAccess;
	configuration: ConfigurationHolder;
	observer: LinkObserver;
}>;

/** Callbacks for events on the links. */
export type LinkObserver = Readonly<{
	onOpen: (hello: AgentHello) => void;
	onReport: (hello: AgentHello, report: LoadReport) => void;
	onClosed: (hello: AgentHello) => void;
}>;
