/** A group of failure detectors on a simulated network that loses, delays and duplicates datagrams. */
import {createSeededRandom, type RandomSource} from '../../decisions/random.js';
import {MemberDatagram} from '../../wire/generated/membership.js';
import {chooseDetectorTiming} from '../entry-members.js';
import {createFailureDetector} from '../failure-detector.js';
import type {FailureDetector, Outgoing, SelfDescription} from '../failure-detector-types.js';

/** Time within which a dead member must no longer be listed, in milliseconds. */
export const DEAD_MILLIS = 4000;

export type NetworkOptions = Readonly<{
	seed: number;
	size: number;
	/** Share of the datagrams that is lost. */
	lossShare?: number;
	/** Share of the datagrams that arrives twice. */
	duplicateShare?: number;
	/** Longest delay of a datagram, in milliseconds. */
	maxDelayMillis?: number;
}>;

type Node = {
	readonly id: string;
	generation: number;
	detector: FailureDetector;
	isRunning: boolean;
	/** Until when the process is frozen; its own clock stands still meanwhile. */
	frozenUntilMillis: number;
	/** How far the clock of the process is behind the time of the simulation, in milliseconds. */
	clockLagMillis: number;
	waiting: Array<Readonly<{bytes: Uint8Array; from: string}>>;
};

type Event = Readonly<{atMillis: number; order: number; run: () => void}>;

/** A simulated group. */
export type SimulatedGroup = ReturnType<typeof createSimulatedGroup>;

export function createSimulatedGroup({seed, size, lossShare = 0, duplicateShare = 0, maxDelayMillis = 3}: NetworkOptions) {
	const random: RandomSource = createSeededRandom(seed);
	const nodes = new Map<string, Node>();
	let events: Event[] = [];
	let nowMillis = 0;
	let order = 0;
	let generations = 0;
	let sent = 0;
	let sentBytes = 0;
	/** Whether a datagram from one node to another passes. */
	let isPassed: (from: string, to: string) => boolean = () => true;

	function schedule(atMillis: number, run: () => void): void {
		order++;
		const event = {atMillis, order, run};
		const place = events.findIndex(other => other.atMillis > atMillis);
		events = place === -1 ? [...events, event] : [...events.slice(0, place), event, ...events.slice(place)];
	}

	const clockOf = (node: Node) => nowMillis - node.clockLagMillis;

	function send(from: string, outgoing: readonly Outgoing[]): void {
		for (const {address, datagram} of outgoing) {
			const bytes = MemberDatagram.encode(datagram).finish();
			sent++;
			sentBytes += bytes.length;
			const copies = random() < duplicateShare ? 2 : 1;
			for (let i = 0; i < copies; i++) {
				if (random() >= lossShare && isPassed(from, address)) {
					schedule(nowMillis + (random() * maxDelayMillis), () => {
						deliver(address, {bytes, from});
					});
				}
			}
		}
	}

	function deliver(id: string, datagram: Readonly<{bytes: Uint8Array; from: string}>): void {
		const node = nodes.get(id);
		if (!node?.isRunning) {
			return;
		}

		if (nowMillis < node.frozenUntilMillis) {
			node.waiting.push(datagram);
			return;
		}

		send(id, node.detector.receive(MemberDatagram.decode(datagram.bytes), datagram.from, clockOf(node)));
		scheduleTick(node);
	}

	function scheduleTick(node: Node): void {
		const {detector} = node;
		const dueMillis = Math.max(nowMillis, node.frozenUntilMillis, detector.nextDueMillis() + node.clockLagMillis);
		schedule(dueMillis, () => {
			if (node.isRunning && node.detector === detector && nowMillis >= node.frozenUntilMillis && clockOf(node) >= detector.nextDueMillis()) {
				send(node.id, detector.tick(clockOf(node)));
				scheduleTick(node);
			}
		});
	}

	function describe(id: string, generation: number): SelfDescription {
		return {
			id, generation, gossipAddress: id, callerAddress: `${id}:80`, failureDomain: 'a',
		};
	}

	function start(id: string): void {
		generations++;
		const previous = nodes.get(id);
		const detector = createFailureDetector({
			self: describe(id, generations),
			timing: chooseDetectorTiming(DEAD_MILLIS),
			random,
			describeStore: () => ({tables: []}),
			onStoreView() {
				// The store is not simulated.
			},
			onChange() {
				// States are read from the lists.
			},
			onSuperseded() {
				// As above.
			},
		});
		// The rows of the store: the last start of each node, whether it lives or not.
		detector.addSeeds([...nodes.values()].map(node => describe(node.id, node.generation)), nowMillis);
		detector.setReady(true, nowMillis);
		const node: Node = {
			id, generation: generations, detector, isRunning: true, frozenUntilMillis: 0, clockLagMillis: previous?.clockLagMillis ?? 0, waiting: [],
		};
		nodes.set(id, node);
		scheduleTick(node);
	}

	function run(millis: number): void {
		const endMillis = nowMillis + millis;
		for (let event = events[0]; event && event.atMillis <= endMillis; event = events[0]) {
			events.shift();
			nowMillis = event.atMillis;
			event.run();
		}

		nowMillis = endMillis;
	}

	const ids = Array.from({length: size}, (_, i) => `n${i}`);
	for (const id of ids) {
		schedule(random() * 300, () => {
			start(id);
		});
	}

	/** Other members that the node lists for callers. */
	function listed(id: string): readonly string[] {
		const node = nodes.get(id);
		return node ? node.detector.list(clockOf(node)).filter(({state, claim}) => state === 'ready' || (state === 'suspect' && claim.ready)).map(({claim}) => claim.id).toSorted() : [];
	}

	return {
		ids,
		random,
		run,
		start,
		listed,
		now: () => nowMillis,
		countSent: () => ({sent, sentBytes}),
		read: (id: string) => nodes.get(id)?.detector,
		kill(id: string) {
			const node = nodes.get(id);
			if (node) {
				node.isRunning = false;
			}
		},
		leave(id: string) {
			const node = nodes.get(id);
			if (node) {
				send(id, node.detector.leave(clockOf(node)));
				scheduleTick(node);
			}
		},
		/** Stops a process; its clock does not count the time, and what it receives meanwhile waits. */
		freeze(id: string, millis: number) {
			const node = nodes.get(id);
			if (!node) {
				return;
			}

			node.frozenUntilMillis = nowMillis + millis;
			schedule(node.frozenUntilMillis, () => {
				node.clockLagMillis += millis;
				const {waiting} = node;
				node.waiting = [];
				for (const datagram of waiting) {
					deliver(id, datagram);
				}

				scheduleTick(node);
			});
		},
		setNetwork(passes: (from: string, to: string) => boolean) {
			isPassed = passes;
		},
		/** Hands a node a datagram that was sent long ago. */
		replay(to: string, datagram: MemberDatagram, from: string) {
			deliver(to, {bytes: MemberDatagram.encode(datagram).finish(), from});
		},
		runningIds: () => [...nodes.values()].filter(({isRunning}) => isRunning).map(({id}) => id).toSorted(),
	};
}
