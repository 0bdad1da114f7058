/** What a link to an agent offers, and what it needs of its process. */
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

/** A report of the agent's load and the monotonic time it came, in milliseconds. */
export type ReceivedLoad = Readonly<{report: LoadReport; atMillis: number}>;

/** Why a link could not be opened. Nothing but the hello was sent. */
export type LinkError = Readonly<{tag: 'unreachable' | 'no_hello'; detail: string}>;

/** An open link to one agent. */
export type AgentLink = Readonly<{
	hello: AgentHello;
	address: string;
	isOpen: () => boolean;
	/** Resolves when the link has ended, for whatever reason. */
	closed: Promise<void>;
	/** Whether the agent said that it refuses new work. */
	isDraining: () => boolean;
	/** Configuration version on the agent's last frame. */
	peerVersion: () => ConfigVersion;
	load: () => ReceivedLoad | undefined;
	/** Attempts on this link without an outcome. */
	inFlight: () => number;
	/** Writes the attempt; undefined when the link is closed, and then nothing was written. */
	start: (attempt: StartAttempt) => Mailbox<AttemptEvent> | undefined;
	/** Forgets an attempt; later frames of it are dropped and counted. */
	forget: (attemptId: AttemptId) => void;
	/** Asks the agent to stop an attempt whose answer nobody wants any more. */
	cancel: (attemptId: AttemptId) => void;
	/** Asks the agent never to start the attempt; undefined when no reply came in time. */
	tombstone: (attemptId: AttemptId, millis: number) => Promise<TombstoneReply | undefined>;
	/** Asks for the state of an attempt or a key; undefined when no reply came in time. */
	query: (query: AttemptQuery, millis: number) => Promise<AttemptStatus | undefined>;
	close: (cause: string) => void;
}>;

/** Outcome of one try to open a link. */
export type LinkResult = Result<AgentLink, LinkError>;

/** Where an agent is reached. */
export type AgentAddress = Readonly<{
	agentId: InstanceId;
	/** `host:port`, used while the instance list does not name the agent; empty when only the list is to be trusted. */
	linkAddress: string;
}>;

/** The open links of this entry. */
export type AgentLinks = {
	readonly links: () => readonly AgentLink[];
	/** An open link to the agent, or else the outcome of the next try to open one, waited for at most `millis`. */
	readonly connect: (agent: AgentAddress, millis: number) => Promise<LinkResult>;
	/** The instance list as last read; empty until then. */
	readonly instances: () => readonly Instance[];
};

/** What a link needs of its process. */
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

/** Is told what happens on the links. */
export type LinkObserver = Readonly<{
	onOpen: (hello: AgentHello) => void;
	onReport: (hello: AgentHello, report: LoadReport) => void;
	onClosed: (hello: AgentHello) => void;
}>;
