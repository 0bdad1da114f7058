/** Keeps the probes of an entry that wait for their answers, and how slow the entry itself is. */
import {MAX_SLOWNESS} from './membership-constants.js';

/** A probe that has not been answered. */
export type Probe = Readonly<{
	sequence: number;
	target: string;
	sentAtMillis: number;
	dueAtMillis: number;
	stage: 'direct' | 'indirect';
	isOnRing: boolean;
	/** Whether this entry had heard nobody for a while when it sent the probe, so that its own link may have been at fault. */
	wasAlone: boolean;
}>;

/** Number of probes that are remembered after they were given up. */
const REMEMBERED_PROBES = 50;

/** A probe made for another entry. */
type Relay = Readonly<{address: string; sequence: number; sentAtMillis: number}>;

/** Probes of one entry. Times are of its monotonic clock, in milliseconds. */
export type ProbeTracker = Readonly<{
	/** Starts a probe; returns its sequence. */
	start: (probe: Pick<Probe, 'target' | 'isOnRing' | 'wasAlone'>, nowMillis: number) => number;
	/** Notes that the paths through other entries are tried, and that the answer may take longer. */
	startIndirect: (probe: Probe, nowMillis: number) => void;
	/** Gives a probe up. */
	end: (sequence: number) => void;
	/** Ends a probe that was answered. An answer to one that was given up shows that this entry is slow; others came over a second path. */
	noteAnswer: (sequence: number) => void;
	/** Notes that others suspect this entry. */
	noteSuspicion: () => void;
	/** Notes that this entry acted late; answers to its probes may be waiting to be read. */
	noteDelay: (lateMillis: number) => void;
	listDue: (nowMillis: number) => readonly Probe[];
	listTargets: () => ReadonlySet<string>;
	/** Infinity without probes. */
	nextDueMillis: () => number;
	/** Starts a probe for another entry, which asked for it under a sequence of its own; returns the sequence to use. */
	startRelay: (address: string, sequence: number, nowMillis: number) => number;
	/** The asker of a relayed probe that was answered; undefined for a probe of this entry's own. */
	takeRelay: (sequence: number) => Readonly<{address: string; sequence: number}> | undefined;
	/** Forgets relayed probes from before a time. */
	dropRelays: (beforeMillis: number) => void;
}>;

/** Creates a tracker without probes. */
export function createProbeTracker(ackTimeoutMillis: number): ProbeTracker {
	let lastSequence = 0;
	const probes = new Map<number, Probe>();
	const relays = new Map<number, Relay>();
	/** The last probes that were given up without an answer. */
	let givenUp: readonly number[] = [];
	/** How much slower than usual this entry is; lengthens its timeouts, so that it does not suspect others for its own delays. */
	let slowness = 0;

	function addSlowness(amount: 1 | -1): void {
		slowness = Math.min(MAX_SLOWNESS, Math.max(0, slowness + amount));
	}

	return {
		start(probe, nowMillis) {
			lastSequence++;
			probes.set(lastSequence, {
				...probe, sequence: lastSequence, sentAtMillis: nowMillis, dueAtMillis: nowMillis + (ackTimeoutMillis * (1 + slowness)), stage: 'direct',
			});
			return lastSequence;
		},
		startIndirect(probe, nowMillis) {
			probes.set(probe.sequence, {...probe, stage: 'indirect', dueAtMillis: nowMillis + (2 * ackTimeoutMillis * (1 + slowness))});
		},
		end(sequence) {
			if (probes.delete(sequence)) {
				givenUp = [...givenUp, sequence].slice(-REMEMBERED_PROBES);
			}
		},
		noteAnswer(sequence) {
			if (probes.delete(sequence)) {
				addSlowness(-1);
			} else if (givenUp.includes(sequence)) {
				givenUp = givenUp.filter(other => other !== sequence);
				addSlowness(1);
			}
		},
		noteSuspicion() {
			addSlowness(1);
		},
		noteDelay(lateMillis) {
			addSlowness(1);
			for (const [sequence, probe] of probes) {
				probes.set(sequence, {...probe, dueAtMillis: probe.dueAtMillis + lateMillis});
			}
		},
		listDue: nowMillis => [...probes.values()].filter(({dueAtMillis}) => dueAtMillis <= nowMillis),
		listTargets: () => new Set([...probes.values()].map(({target}) => target)),
		nextDueMillis: () => Math.min(Infinity, ...[...probes.values()].map(({dueAtMillis}) => dueAtMillis)),
		startRelay(address, sequence, nowMillis) {
			lastSequence++;
			relays.set(lastSequence, {address, sequence, sentAtMillis: nowMillis});
			return lastSequence;
		},
		takeRelay(sequence) {
			const relay = relays.get(sequence);
			relays.delete(sequence);
			return relay;
		},
		dropRelays(beforeMillis) {
			for (const [sequence, {sentAtMillis}] of relays) {
				if (sentAtMillis < beforeMillis) {
					relays.delete(sequence);
				}
			}
		},
	};
}
