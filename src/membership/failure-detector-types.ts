import type {RandomSource} from '../decisions/random.js';
import type {MemberClaim, MemberDatagram, StoreView} from '../wire/generated/membership.js';
import type {MemberState} from './member.js';

/** Timing of a failure detector, in milliseconds. */
export type DetectorTiming = Readonly<{
	probeIntervalMillis: number;
	ackTimeoutMillis: number;
	suspicionMillis: number;
}>;

/** This entry, as it introduces itself to the others. */
export type SelfDescription = Readonly<{
	id: string;
	/** Number of this start of the process; higher than those of all earlier starts. */
	generation: number;
	/** `IP:port` for datagrams. */
	gossipAddress: string;
	/** `IP:port` for callers. */
	callerAddress: string;
	failureDomain: string;
	/** Processor cores of the process; undefined if they are not known. */
	cpuCores?: number | undefined;
	/** Bandwidth of the link, in Mbit/s; undefined if it is not known. */
	linkMbps?: number | undefined;
}>;

/** A datagram to send. */
export type Outgoing = Readonly<{address: string; datagram: MemberDatagram}>;

/** A member and its state as this entry believes it. */
export type MemberView = Readonly<{claim: MemberClaim; state: MemberState; addedAtMillis: number; suspectedAtMillis: number | undefined}>;

/** A member whose state has changed; `before` is undefined for a new one. */
export type MemberChange = Readonly<{claim: MemberClaim; before: MemberState | undefined; after: MemberState}>;

export type FailureDetectorDeps = Readonly<{
	self: SelfDescription;
	timing: DetectorTiming;
	random: RandomSource;
	/** What to tell the others of the store. */
	describeStore: (nowMillis: number) => StoreView;
	/** Receives what another entry knows of the store. */
	onStoreView: (view: StoreView, nowMillis: number) => void;
	onChange: (change: MemberChange) => void;
	/** Called when another process with the same id and a higher generation is a member. */
	onSuperseded: (generation: number) => void;
}>;

/** State machine of the group membership of one entry. It does no I/O: each call returns the datagrams to send. */
export type FailureDetector = Readonly<{
	/** Does what is due; must be called at the time that `nextDueMillis` returns, or later. */
	tick: (nowMillis: number) => readonly Outgoing[];
	receive: (datagram: MemberDatagram, from: string, nowMillis: number) => readonly Outgoing[];
	/** Adds addresses at which members may be found; they are not members until an entry vouches for them. */
	addSeeds: (seeds: readonly SelfDescription[], nowMillis: number) => void;
	setReady: (isReady: boolean, nowMillis: number) => void;
	/** Tells the others that this entry is leaving; it goes on answering their probes. */
	leave: (nowMillis: number) => readonly Outgoing[];
	/** The other members. */
	list: (nowMillis: number) => readonly MemberView[];
	readSelf: () => MemberClaim;
	/** Creates a datagram without claims, to which other knowledge can be added. */
	createDatagram: (nowMillis: number) => MemberDatagram;
	nextDueMillis: () => number;
}>;
