/** The entries that serve callers together, as one of them knows them. */
import type {Clock} from '../core/clock.js';
import {describeError} from '../core/describe-error.js';
import type {Incarnation, InstanceId} from '../core/ids.js';
import {weighEntries, type Capacity} from '../decisions/caller-routing/entry-weights.js';
import {computeInclusion} from '../decisions/caller-routing/weighted-sample.js';
import type {RandomSource} from '../decisions/random.js';
import {sum} from '../decisions/sum.js';
import type {Log} from '../observability/log.js';
import type {DatagramSocket} from '../ports/datagram-socket.js';
import type {TableFeed} from '../ports/table-feed.js';
import type {TableStore} from '../ports/table-store.js';
import {MemberDatagram, type Crash, type ServerLimit} from '../wire/generated/membership.js';
import type {StatedLimits} from '../decisions/rate-limit/stated-limits.js';
import {
	listEntryRows, removeEntryRow, writeEntryRow,
} from './entry-row.js';
import type {CrashEvidence} from './crash-evidence.js';
import {createFailureDetector} from './failure-detector.js';
import type {
	DetectorTiming, FailureDetector, MemberChange, MemberView, Outgoing,
} from './failure-detector-types.js';
import {createLimitGossip} from './limit-gossip.js';
import {isLive, type MemberState} from './member.js';
import {ACK_TIMEOUT_SHARE, PROBE_INTERVAL_SHARE, SUSPICION_SHARE} from './membership-constants.js';
import {createPermitExchange, type PermitExchange, type PermitPool} from './permit-exchange.js';
import type {StoreObservations} from './store-observations.js';

/** An entry to which callers may connect. */
export type EntryMember = Readonly<{id: InstanceId; callerAddress: string; failureDomain: string}> & Capacity;

/** An entry and what this one believes of it. */
export type EntryBelief = EntryMember & Readonly<{state: MemberState | 'leaving'; generation: number; incarnation: number; suspectedMillis?: number | undefined}>;

/** The entries as seen by one of them. */
export type EntryMembers = Readonly<{
	/** Returns the entries that accept callers, including this one while it is ready. */
	listReady: () => readonly EntryMember[];
	/** Returns all known entries, this one first. */
	listBeliefs: () => readonly EntryBelief[];
	/**
	 * Returns how many entries share the backend servers, including this one. Entries count whether or not they are ready, and for a
	 * while after they were last known to live; otherwise each of several entries that restart together would claim the full capacity.
	 */
	countSharingEntries: () => number;
	/**
	 * Returns the number by which this entry divides what the entries share in proportion to the callers that they are expected to get:
	 * the total capacity of the sharing entries in multiples of its own. It is their number where capacities do not matter.
	 */
	countCapacityShares: () => number;
	/**
	 * Returns the ids of the entries that divide the limits of backend servers among them, this one included; the same array until they
	 * change, and empty before this entry has joined. While most of the known entries are out of reach, as in the smaller part of a
	 * partition, they keep their shares, since they may be using them.
	 */
	listLimitSharers: () => readonly string[];
	/** Returns the number of entries that divide the retry budgets among them, this one included; infinite before this entry has joined. */
	countRetrySharers: () => number;
	/** Tells the other entries whether this one accepts callers. */
	setReady: (isReady: boolean) => void;
	/** Loans of permits between this entry and others. */
	permits: Pick<PermitExchange, 'borrow' | 'countLent' | 'countBorrowed'>;
	/** Joins the other entries and observes them until `signal` aborts. */
	run: (signal: AbortSignal) => Promise<void>;
	/** Sends all others what this entry knows of the store. */
	shareStoreView: () => void;
	/** Place of this entry among those that follow the store: from 0, in the order of their ids. */
	readPlace: () => Readonly<{index: number; entries: number}>;
	/** Announces to the other entries that this one is draining. */
	announceDraining: () => Promise<void>;
}>;

export type EntryMembersDeps = Readonly<{
	clock: Clock;
	log: Log;
	random: RandomSource;
	table: TableStore;
	feed: TableFeed;
	socket: DatagramSocket;
	store: Pick<StoreObservations, 'describe' | 'merge'>;
	evidence: CrashEvidence;
	limits: StatedLimits;
	/** Permits of this entry by service, for the services whose permits entries lend each other. */
	listPermitPools?: () => ReadonlyMap<string, PermitPool>;
	/** Called when the number of lent or borrowed permits of a service has changed. */
	onLoansChanged?: (service: string) => void;
	self: EntryMember & Readonly<{incarnation: Incarnation; gossipAddress: string; statusAddress: string}>;
	/** Time within which a dead entry must no longer be listed, in milliseconds. */
	deadEntryMillis: number;
	/** Time for which an entry that is no longer known to live keeps its share of the backend servers, in milliseconds. */
	sharingTimeoutMillis: number;
	/** Called when the entries, or their states, have changed. */
	onChange: () => void;
}>;

/** Derives the timing of the failure detector from the time within which a dead entry must be noticed. */
export function chooseDetectorTiming(deadEntryMillis: number): DetectorTiming {
	return {
		probeIntervalMillis: deadEntryMillis * PROBE_INTERVAL_SHARE,
		ackTimeoutMillis: deadEntryMillis * ACK_TIMEOUT_SHARE,
		suspicionMillis: deadEntryMillis * SUSPICION_SHARE,
	};
}

/** Whether the reachable entries are most of the known ones; of two halves, it is the one with the first id. */
export function isMajority(reachable: readonly string[], known: readonly string[]): boolean {
	const [first] = known.toSorted();
	return reachable.length * 2 > known.length || (reachable.length * 2 === known.length && first !== undefined && reachable.includes(first));
}

/** Creates the view of one entry, which at first contains only itself. */
export function createEntryMembers(deps: EntryMembersDeps): EntryMembers {
	const {clock, log, random, socket, self, evidence, sharingTimeoutMillis} = deps;
	const timing = chooseDetectorTiming(deps.deadEntryMillis);
	let detector: FailureDetector | undefined;
	let isReady = false;
	let isDraining = false;
	let reportedShares = 1;
	let isShareByCapacity = false;
	let limitSharers: readonly string[] = [];
	let wake = new AbortController();
	/** When each address was last sent all evidence. */
	const evidenceSentAtMillis = new Map<string, number>();

	/** When each address was last sent all limits. */
	const limitsSentAtMillis = new Map<string, number>();
	const limitGossip = createLimitGossip({
		clock,
		random,
		limits: deps.limits,
		listAddresses: listReachable,
		send: sendLimits,
	});

	const permits = createPermitExchange({
		clock,
		log,
		random,
		listPools: deps.listPermitPools ?? (() => new Map()),
		onChange: deps.onLoansChanged ?? (() => undefined),
		isActive: () => detector !== undefined && !isDraining,
		listMembers: () => new Map(listOthers().filter(({state}) => isLive(state)).map(({claim}) => [claim.id, claim.gossipAddress])),
		send(address, loan) {
			const base = detector?.createDatagram(clock.monotonicMillis());
			if (base) {
				send([{address, datagram: {...base, loan}}]);
			}
		},
	});

	/** Addresses of the entries that may be alive. */
	function listReachable(): readonly string[] {
		return listOthers().filter(({state}) => isLive(state) || state === 'suspect').map(({claim}) => claim.gossipAddress);
	}

	function sendLimits(address: string, limits: readonly ServerLimit[]): void {
		const base = detector?.createDatagram(clock.monotonicMillis());
		if (base) {
			send([{address, datagram: {...base, limits}}]);
		}
	}

	function send(outgoing: readonly Outgoing[]): void {
		const sparePermits = permits.describeSpare();
		for (const {address, datagram} of outgoing) {
			socket.send(address, MemberDatagram.encode({
				...datagram, crashDigest: evidence.readDigest(), limitDigest: limitGossip.readDigest(), sparePermits,
			}).finish());
		}
	}

	function noteChange({claim, before, after}: MemberChange): void {
		log.info('entry', {
			entry: claim.id, state: after, former: before, generation: claim.generation, memberIncarnation: claim.incarnation, address: claim.callerAddress,
		});
		updateLimitSharers();
		deps.onChange();
	}

	function decode(bytes: Uint8Array, from: string): MemberDatagram | undefined {
		try {
			return MemberDatagram.decode(bytes);
		} catch (error) {
			log.debug('unreadable member datagram', {from, detail: describeError(error)});
			return undefined;
		}
	}

	/** Sends evidence of crashes, an item a datagram. */
	function sendEvidence(addresses: readonly string[], crashes: readonly Crash[]): void {
		const base = detector?.createDatagram(clock.monotonicMillis());
		if (base) {
			send(crashes.flatMap(crash => addresses.map(address => ({address, datagram: {...base, crashes: [crash]}}))));
		}
	}

	/** Takes over the evidence of another entry, and sends it this entry's if theirs differ. */
	function exchangeEvidence({crashes, crashDigest, body}: MemberDatagram, from: string): void {
		if (crashes.length > 0) {
			evidence.merge(crashes);
		}

		if (body && crashDigest !== evidence.readDigest() && isRepairDue(evidenceSentAtMillis, from)) {
			sendEvidence([from], evidence.describeAll());
		}
	}

	/** Takes over the limits that another entry knows, and sends it this entry's if theirs differ. */
	function exchangeLimits({limits, limitDigest, body}: MemberDatagram, from: string): void {
		if (limits.length > 0) {
			limitGossip.merge(limits);
		}

		if (body && limitDigest !== limitGossip.readDigest() && isRepairDue(limitsSentAtMillis, from)) {
			for (const part of limitGossip.describeAll()) {
				sendLimits(from, part);
			}
		}
	}

	/** Whether an address may be sent all of this entry's knowledge again; records that it is. */
	function isRepairDue(sentAtMillis: Map<string, number>, address: string): boolean {
		const nowMillis = clock.monotonicMillis();
		if (nowMillis - (sentAtMillis.get(address) ?? -Infinity) < timing.probeIntervalMillis / 2) {
			return false;
		}

		sentAtMillis.set(address, nowMillis);
		return true;
	}

	function receive(bytes: Uint8Array, from: string): void {
		const datagram = detector && decode(bytes, from);
		if (!detector || !datagram) {
			return;
		}

		const dueMillis = detector.nextDueMillis();
		send(detector.receive(datagram, from, clock.monotonicMillis()));
		exchangeEvidence(datagram, from);
		exchangeLimits(datagram, from);
		permits.receive(datagram, from);
		if (detector.nextDueMillis() < dueMillis) {
			wake.abort();
		}
	}

	/** Registers this entry and starts to look for the others. */
	async function join(signal: AbortSignal): Promise<FailureDetector | undefined> {
		const rowDeps = {...deps, signal};
		const {id, incarnation, callerAddress, gossipAddress, statusAddress, failureDomain, cpuCores, linkMbps} = self;
		const generation = await writeEntryRow(rowDeps, id, {
			callerAddress, gossipAddress, statusAddress, failureDomain, incarnation,
		});
		const seeds = generation === undefined ? undefined : await listEntryRows(rowDeps);
		if (generation === undefined || seeds === undefined) {
			return undefined;
		}

		const joining = createFailureDetector({
			self: {
				id, generation, gossipAddress, callerAddress, failureDomain, cpuCores, linkMbps,
			},
			timing,
			random,
			describeStore: deps.store.describe,
			onStoreView: deps.store.merge,
			onChange: noteChange,
			onSuperseded(successor) {
				log.error('another process has taken over this instance id', {generation, successor});
			},
		});
		joining.addSeeds(seeds, clock.monotonicMillis());
		joining.setReady(isReady && !isDraining, clock.monotonicMillis());
		log.info('registered', {generation, entries: seeds.length});
		return joining;
	}

	const listOthers = (): readonly MemberView[] => detector?.list(clock.monotonicMillis()) ?? [];

	/** The other entries that share the backend servers with this one. */
	function listSharing(): readonly MemberView[] {
		const nowMillis = clock.monotonicMillis();
		return listOthers().filter(member => isSharing(member, nowMillis));
	}

	const countSharingEntries = () => listSharing().length + 1;

	function countCapacityShares(): number {
		const entries = [self, ...listSharing().map(({claim}) => claim)];
		const weights = weighEntries(entries);
		const probabilities = weights ? computeInclusion(weights, entries.length) : [];
		const [own] = probabilities;
		return own === undefined ? entries.length : sum(probabilities) / own;
	}

	function updateLimitSharers(): void {
		const sharers = detector && !isDraining ? [self.id, ...listSharersOf(listOthers(), clock.monotonicMillis())] : [];
		if (sharers.join(' ') !== limitSharers.join(' ')) {
			limitSharers = sharers;
		}
	}

	/** The other entries that divide the limits and the retry budgets with this one. */
	function listSharersOf(others: readonly MemberView[], nowMillis: number): readonly string[] {
		const toIds = (members: readonly MemberView[]) => members.map(({claim}) => claim.id).toSorted();
		const sharing = others.filter(member => isSharing(member, nowMillis));
		const known = others.filter(member => sharing.includes(member) || (member.state !== 'left' && member.state !== 'unverified'));
		const reachable = toIds(others.filter(({state}) => isLive(state) || state === 'suspect'));
		return isMajority([self.id, ...reachable], [self.id, ...toIds(known)]) ? toIds(sharing) : toIds(known);
	}

	/** Logs this entry's share of the callers where it depends on capacities, and when it no longer does. */
	function logShare(shares: number): void {
		const entries = countSharingEntries();
		const isByCapacity = shares !== entries;
		if (isByCapacity || isShareByCapacity) {
			log.info('caller share', {share: 1 / shares, entries, isByCapacity});
		}

		isShareByCapacity = isByCapacity;
	}

	/** Reports when an entry has lost its share, which is some time after its death, or its capacity has become known. */
	function noteSharing(): void {
		updateLimitSharers();
		const shares = countCapacityShares();
		if (shares !== reportedShares) {
			reportedShares = shares;
			logShare(shares);
			deps.onChange();
		}
	}

	/** Tells the other entries that this one leaves, and removes its row. */
	async function leave({leave: leaveMembers, readSelf}: FailureDetector): Promise<void> {
		send(leaveMembers(clock.monotonicMillis()));
		wake.abort();
		await removeEntryRow(deps, self.id, readSelf().generation);
	}

	/** Probes the other entries until the signal aborts. */
	async function observe({nextDueMillis, tick}: FailureDetector, signal: AbortSignal): Promise<void> {
		signal.addEventListener('abort', () => {
			wake.abort();
		}, {once: true});
		/* eslint-disable no-await-in-loop -- Ticks are sequential. */
		while (!signal.aborted) {
			const pauseMillis = nextDueMillis() - clock.monotonicMillis();
			if (pauseMillis > 0) {
				wake = new AbortController();
				await clock.sleep(pauseMillis, wake.signal);
			} else {
				send(tick(clock.monotonicMillis()));
				noteSharing();
			}
		}
		/* eslint-enable no-await-in-loop */
	}

	function isSharing({state, addedAtMillis, suspectedAtMillis}: MemberView, nowMillis: number): boolean {
		return state !== 'left' && (state !== 'dead' || nowMillis - (suspectedAtMillis ?? 0) < sharingTimeoutMillis)
			&& (state !== 'unverified' || nowMillis - addedAtMillis < sharingTimeoutMillis);
	}

	return {
		listReady() {
			// A suspected entry may be alive, and is listed until it is concluded that it is dead.
			const others = listOthers().filter(({state, claim}) => state === 'ready' || (state === 'suspect' && claim.ready)).map(({claim}) => claim);
			return isReady && !isDraining ? [self, ...others] : others;
		},
		listBeliefs() {
			const nowMillis = clock.monotonicMillis();
			const own = detector?.readSelf();
			const ownState = isReady ? 'ready' : 'starting';
			return [
				{
					id: self.id,
					callerAddress: self.callerAddress,
					failureDomain: self.failureDomain,
					state: isDraining ? 'leaving' : ownState,
					generation: own?.generation ?? 0,
					incarnation: own?.incarnation ?? 0,
				},
				...listOthers().map(({claim: {id, callerAddress, failureDomain, generation, incarnation}, state, suspectedAtMillis}) => ({
					id,
					callerAddress,
					failureDomain,
					state,
					generation,
					incarnation,
					suspectedMillis: suspectedAtMillis === undefined ? undefined : Math.round(nowMillis - suspectedAtMillis),
				})),
			];
		},
		countSharingEntries,
		countCapacityShares,
		permits,
		listLimitSharers: () => limitSharers,
		countRetrySharers: () => detector ? listSharersOf(listOthers(), clock.monotonicMillis()).length + 1 : Infinity,
		setReady(isNowReady) {
			isReady = isNowReady;
			detector?.setReady(isReady && !isDraining, clock.monotonicMillis());
			wake.abort();
		},
		async run(signal) {
			const unregister = socket.registerListener(receive);
			const unregisterEvidence = evidence.registerListener(crashes => {
				sendEvidence(listReachable(), crashes);
			});
			const unregisterLimits = limitGossip.registerSpreading(signal);
			const joined = await join(signal);
			if (joined) {
				detector = joined;
				updateLimitSharers();
				deps.onChange();
				// The drain may have begun while the row was being written.
				if (isDraining) {
					void leave(joined);
				}

				await observe(joined, signal);
			}

			unregister();
			unregisterEvidence();
			unregisterLimits();
		},
		shareStoreView() {
			const datagram = detector?.createDatagram(clock.monotonicMillis());
			if (datagram) {
				send(listReachable().map(address => ({address, datagram})));
			}
		},
		readPlace() {
			const ids = limitSharers.length > 0 ? limitSharers.toSorted() : [self.id];
			return {index: Math.max(0, ids.indexOf(self.id)), entries: Math.max(ids.length, countSharingEntries())};
		},
		async announceDraining() {
			isDraining = true;
			updateLimitSharers();
			if (detector) {
				await leave(detector);
			}
		},
	};
}
