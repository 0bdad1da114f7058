/**
 * Failure detector of the entries, in the manner of SWIM and Lifeguard: probes, indirect probes, suspicions that the suspected
 * member can refute, and claims that ride on the datagrams. Only suspicions travel, never deaths: each entry concludes by itself
 * that a member is dead, so that a healed partition does not spread deaths that are not true.
 */
import {match} from 'ts-pattern';
import {sum} from '../decisions/sum.js';
import {MemberStatus, type MemberClaim, type MemberDatagram} from '../wire/generated/membership.js';
import type {
	FailureDetector, FailureDetectorDeps, MemberView, Outgoing, SelfDescription,
} from './failure-detector-types.js';
import {
	compareClaims, hashClaim, readMemberState, type MemberRecord, type MemberState,
} from './member.js';
import {
	CLAIMS_PER_DATAGRAM, FORGET_MILLIS, GOSSIP_FANOUT, GOSSIP_PAUSE_MILLIS, GOSSIP_ROUNDS, GOSSIP_SPREAD_MILLIS, INDIRECT_PROBERS, MAX_SLOWNESS, RING_PROBES,
} from './membership-constants.js';
import {listSuccessors} from './probe-ring.js';

type Body = NonNullable<MemberDatagram['body']>;

type Probe = Readonly<{
	target: string;
	sentAtMillis: number;
	dueAtMillis: number;
	stage: 'direct' | 'indirect';
	isOnRing: boolean;
	/** Whether this entry had heard nobody for a while when it sent the probe, so that its own link may have been at fault. */
	wasAlone: boolean;
}>;

/** A probe made for another entry. */
type Relay = Readonly<{address: string; sequence: number; sentAtMillis: number}>;

/** Incarnation of members known only from rows of the store; lower than any that a member claims. */
const SEED_INCARNATION = -1;
/** An entry that knows no member yet looks for one this many times as often as it probes. */
const JOIN_RATE = 4;

function isLive(state: MemberState): boolean {
	return state === 'ready' || state === 'starting';
}

/** Creates the detector of an entry that knows no other yet. */
export function createFailureDetector(deps: FailureDetectorDeps): FailureDetector {
	const {self, random, timing: {probeIntervalMillis, ackTimeoutMillis, suspicionMillis}} = deps;
	let own: MemberClaim = {
		...self, incarnation: 0, status: MemberStatus.ALIVE, ready: false,
	};
	let members: ReadonlyMap<string, MemberRecord> = new Map();
	let knownStates: ReadonlyMap<string, MemberState> = new Map();
	/** Rounds of gossip left for the claims about each member. */
	const gossipRounds = new Map<string, number>([[self.id, GOSSIP_ROUNDS]]);
	const probes = new Map<number, Probe>();
	const relays = new Map<number, Relay>();
	let sequence = 0;
	let nextProbeAtMillis = 0;
	let nextGossipAtMillis = 0;
	let expectedTickMillis = Infinity;
	let heardAtMillis = -Infinity;
	let changedAtMillis = -Infinity;
	let syncedAtMillis = -Infinity;
	/** How much slower than usual this entry is; lengthens its timeouts, so that it does not suspect others for its own delays. */
	let slowness = 0;
	let isSuperseded = false;

	const hasLeft = () => own.status === MemberStatus.LEFT;
	const readState = (record: MemberRecord, nowMillis: number) => readMemberState(record, nowMillis, suspicionMillis);

	function listInState(nowMillis: number, isWanted: (state: MemberState) => boolean): readonly MemberRecord[] {
		return [...members.values()].filter(record => isWanted(readState(record, nowMillis)));
	}

	/** Draws up to `count` of the records. */
	function draw(records: readonly MemberRecord[], count: number): readonly MemberRecord[] {
		const left = [...records];
		const drawn: MemberRecord[] = [];
		while (drawn.length < count && left.length > 0) {
			drawn.push(...left.splice(Math.floor(random() * left.length), 1));
		}

		return drawn;
	}

	/** Replaces a record, or removes it. */
	function update(id: string, record: MemberRecord | undefined): void {
		const updated = new Map(members);
		if (record) {
			updated.set(id, record);
		} else {
			updated.delete(id);
		}

		members = updated;
	}

	/** Queues the claim about a member for the next rounds of gossip. */
	function passOn(id: string, nowMillis: number): void {
		if (gossipRounds.size === 0) {
			nextGossipAtMillis = nowMillis + GOSSIP_PAUSE_MILLIS;
		}

		gossipRounds.set(id, GOSSIP_ROUNDS);
		changedAtMillis = nowMillis;
	}

	function setOwn(changed: Partial<MemberClaim>, nowMillis: number): void {
		own = {...own, ...changed};
		passOn(self.id, nowMillis);
	}

	/** Hash of the live members as this entry knows them; equal views have equal digests. */
	function readDigest(nowMillis: number): number {
		const claims = listInState(nowMillis, state => isLive(state) || state === 'suspect').map(({claim}) => claim);
		return sum([...claims, ...(hasLeft() ? [] : [own])].map(claim => hashClaim(claim))) % (2 ** 32);
	}

	function findClaim(id: string): MemberClaim | undefined {
		return id === self.id ? own : members.get(id)?.claim;
	}

	function listPendingClaims(): readonly MemberClaim[] {
		return [...gossipRounds.keys()].map(id => findClaim(id)).filter(claim => claim !== undefined);
	}

	function build(claims: readonly MemberClaim[], body: Body | undefined, nowMillis: number): MemberDatagram {
		return {
			sender: self.id,
			generation: self.generation,
			incarnation: own.incarnation,
			digest: readDigest(nowMillis),
			store: deps.describeStore(nowMillis),
			claims: claims.slice(0, CLAIMS_PER_DATAGRAM),
			body,
		};
	}

	/** Addresses a datagram to a member; a suspected one is told so, to refute it, and a stranger learns who is asking. */
	function sendTo({claim, isVerified, suspectedAtMillis}: MemberRecord, body: Body, nowMillis: number): Outgoing {
		const first = [
			...(claim.status === MemberStatus.SUSPECT ? [claim] : []),
			...(!isVerified || suspectedAtMillis !== undefined ? [own] : []),
		];
		return {address: claim.gossipAddress, datagram: build([...new Set([...first, ...listPendingClaims()])], body, nowMillis)};
	}

	/** Datagrams with all claims, also about members that are dead or have left, which the receiver may believe to be live. */
	function sendAllClaims(address: string, nowMillis: number): readonly Outgoing[] {
		syncedAtMillis = nowMillis;
		const claims = [own, ...listInState(nowMillis, state => state !== 'unverified').map(({claim}) => claim)];
		const count = Math.ceil(claims.length / CLAIMS_PER_DATAGRAM);
		return Array.from({length: count}, (_, i) => ({
			address, datagram: build(claims.slice(i * CLAIMS_PER_DATAGRAM, (i + 1) * CLAIMS_PER_DATAGRAM), undefined, nowMillis),
		}));
	}

	function applyOwnClaim(claim: MemberClaim, nowMillis: number): void {
		if (claim.generation > own.generation) {
			if (!isSuperseded) {
				isSuperseded = true;
				deps.onSuperseded(claim.generation);
			}
		} else if (claim.generation === own.generation && claim.status === MemberStatus.SUSPECT && claim.incarnation >= own.incarnation && !hasLeft()) {
			setOwn({incarnation: claim.incarnation + 1}, nowMillis);
			slowness = Math.min(MAX_SLOWNESS, slowness + 1);
		}
	}

	function applyClaim(claim: MemberClaim, nowMillis: number): void {
		if (claim.id === self.id) {
			applyOwnClaim(claim, nowMillis);
			return;
		}

		const known = members.get(claim.id);
		const order = known ? compareClaims(claim, known.claim) : 1;
		if (!known && claim.status !== MemberStatus.ALIVE) {
			// The end of a member that this entry never knew, or has forgotten, changes nothing.
			return;
		}

		if (order > 0) {
			update(claim.id, {
				claim,
				isVerified: true,
				suspectedAtMillis: claim.status === MemberStatus.SUSPECT ? known?.suspectedAtMillis ?? nowMillis : undefined,
				isSuspicionLocal: false,
				addedAtMillis: known?.addedAtMillis ?? nowMillis,
			});
			passOn(claim.id, nowMillis);
		} else if (order === 0 && known?.isSuspicionLocal) {
			update(claim.id, {...known, suspectedAtMillis: undefined, isSuspicionLocal: false});
		}
	}

	/** Suspects a member. If nobody was heard around the time of the probe, the fault may be on this entry's side, and the others are not told. */
	function suspect({target, sentAtMillis, wasAlone}: Probe, nowMillis: number): readonly Outgoing[] {
		const record = members.get(target);
		if (!record || !isLive(readState(record, nowMillis))) {
			return [];
		}

		if (wasAlone || heardAtMillis <= sentAtMillis) {
			update(target, {...record, suspectedAtMillis: nowMillis, isSuspicionLocal: true});
			return [];
		}

		const suspected = {...record, claim: {...record.claim, status: MemberStatus.SUSPECT}, suspectedAtMillis: nowMillis};
		update(target, suspected);
		passOn(target, nowMillis);
		return [{address: record.claim.gossipAddress, datagram: build([suspected.claim], undefined, nowMillis)}];
	}

	function startProbe(record: MemberRecord, isOnRing: boolean, nowMillis: number): Outgoing {
		sequence++;
		probes.set(sequence, {
			target: record.claim.id,
			sentAtMillis: nowMillis,
			dueAtMillis: nowMillis + (ackTimeoutMillis * (1 + slowness)),
			stage: 'direct',
			isOnRing,
			wasAlone: nowMillis - heardAtMillis > probeIntervalMillis,
		});
		return sendTo(record, {$case: 'ping', ping: {sequence}}, nowMillis);
	}

	/** Probes the next `count` live members on the ring that are not being probed. */
	function probeRing(count: number, nowMillis: number): readonly Outgoing[] {
		const probed = new Set([...probes.values()].map(({target}) => target));
		const live = listInState(nowMillis, state => isLive(state));
		const byId = new Map(live.map(record => [record.claim.id, record]));
		const next = listSuccessors(self.id, byId.keys()).slice(0, RING_PROBES + probed.size).filter(id => !probed.has(id)).slice(0, count);
		return next.map(id => byId.get(id)).filter(record => record !== undefined).map(record => startProbe(record, true, nowMillis));
	}

	/** Probes one other entry at random, dead ones too, because a partition may have healed. */
	function probeAnyone(nowMillis: number): readonly Outgoing[] {
		const probed = new Set([...probes.values()].map(({target}) => target));
		return draw(listInState(nowMillis, state => state !== 'left' && state !== 'unverified').filter(({claim}) => !probed.has(claim.id)), 1)
			.map(record => startProbe(record, false, nowMillis));
	}

	/** Asks entries that are known only from the store, to join the group or to find the rest of it. */
	function askSeeds(hasMembers: boolean, nowMillis: number): readonly Outgoing[] {
		return draw(listInState(nowMillis, state => state === 'unverified'), hasMembers ? 1 : GOSSIP_FANOUT)
			.map(record => sendTo(record, {$case: 'syncRequest', syncRequest: {}}, nowMillis));
	}

	function startRound(nowMillis: number): readonly Outgoing[] {
		const hasMembers = listInState(nowMillis, state => isLive(state)).length > 0;
		nextProbeAtMillis = nowMillis + (probeIntervalMillis * (0.9 + (0.2 * random())) / (hasMembers ? 1 : JOIN_RATE));
		return hasLeft() || isSuperseded ? [] : [...probeRing(RING_PROBES, nowMillis), ...probeAnyone(nowMillis), ...askSeeds(hasMembers, nowMillis)];
	}

	/** Tries the paths through other members, and observes the next members on the ring meanwhile; each step doubles their number, as many may be dead. */
	function probeIndirectly(probeSequence: number, probe: Probe, nowMillis: number): readonly Outgoing[] {
		const target = members.get(probe.target);
		if (!target) {
			probes.delete(probeSequence);
			return [];
		}

		probes.set(probeSequence, {...probe, stage: 'indirect', dueAtMillis: nowMillis + (2 * ackTimeoutMillis * (1 + slowness))});
		const helpers = draw(listInState(nowMillis, state => isLive(state)).filter(({claim}) => claim.id !== probe.target), INDIRECT_PROBERS);
		return [
			sendTo(target, {$case: 'ping', ping: {sequence: probeSequence}}, nowMillis),
			...helpers.map(helper => sendTo(helper, {$case: 'indirectPing', indirectPing: {sequence: probeSequence, target: probe.target}}, nowMillis)),
			...(probe.isOnRing ? probeRing(RING_PROBES, nowMillis) : []),
		];
	}

	function followUpProbes(nowMillis: number): readonly Outgoing[] {
		return [...probes].filter(([, {dueAtMillis}]) => dueAtMillis <= nowMillis).flatMap(([probeSequence, probe]) => {
			if (probe.stage === 'direct') {
				return probeIndirectly(probeSequence, probe, nowMillis);
			}

			probes.delete(probeSequence);
			return suspect(probe, nowMillis);
		});
	}

	function gossip(nowMillis: number, fanout: number): readonly Outgoing[] {
		const targets = draw(listInState(nowMillis, state => isLive(state)), fanout);
		if (targets.length === 0) {
			return [];
		}

		const claims = listPendingClaims();
		for (const [id, rounds] of gossipRounds) {
			if (rounds > 1) {
				gossipRounds.set(id, rounds - 1);
			} else {
				gossipRounds.delete(id);
			}
		}

		const count = Math.ceil(claims.length / CLAIMS_PER_DATAGRAM);
		return targets.flatMap(({claim: {gossipAddress}}) => Array.from({length: count}, (_, i) => ({
			address: gossipAddress,
			datagram: build(claims.slice(i * CLAIMS_PER_DATAGRAM, (i + 1) * CLAIMS_PER_DATAGRAM), undefined, nowMillis),
		})));
	}

	/** Adds the delay of a late tick to the open probes: their answers may be waiting to be read. */
	function allowForDelay(nowMillis: number): void {
		const lateMillis = nowMillis - expectedTickMillis;
		if (lateMillis <= ackTimeoutMillis) {
			return;
		}

		slowness = Math.min(MAX_SLOWNESS, slowness + 1);
		for (const [probeSequence, probe] of probes) {
			probes.set(probeSequence, {...probe, dueAtMillis: probe.dueAtMillis + lateMillis});
		}
	}

	function forget(nowMillis: number): void {
		for (const [id, record] of members) {
			const state = readState(record, nowMillis);
			const sinceMillis = state === 'dead' ? record.suspectedAtMillis ?? nowMillis : record.addedAtMillis;
			if (!isLive(state) && state !== 'suspect' && nowMillis - sinceMillis > FORGET_MILLIS) {
				update(id, undefined);
			}
		}

		for (const [relaySequence, {sentAtMillis}] of relays) {
			if (nowMillis - sentAtMillis > probeIntervalMillis) {
				relays.delete(relaySequence);
			}
		}
	}

	function reportChanges(nowMillis: number): void {
		const states = new Map([...members].map(([id, record]) => [id, readState(record, nowMillis)]));
		for (const [id, after] of states) {
			const before = knownStates.get(id);
			const claim = members.get(id)?.claim;
			if (before !== after && claim) {
				deps.onChange({claim, before, after});
			}
		}

		knownStates = states;
	}

	function scheduleNext(): void {
		const dueMillis = Math.min(nextProbeAtMillis, ...[...probes.values()].map(({dueAtMillis}) => dueAtMillis));
		expectedTickMillis = gossipRounds.size > 0 ? Math.min(dueMillis, nextGossipAtMillis) : dueMillis;
	}

	function receiveAck(ackSequence: number, nowMillis: number): readonly Outgoing[] {
		const relay = relays.get(ackSequence);
		if (relay) {
			relays.delete(ackSequence);
			return [{address: relay.address, datagram: build(listPendingClaims(), {$case: 'ack', ack: {sequence: relay.sequence}}, nowMillis)}];
		}

		slowness = probes.delete(ackSequence) ? Math.max(0, slowness - 1) : Math.min(MAX_SLOWNESS, slowness + 1);
		return [];
	}

	function relayPing({sequence: askedSequence, target}: Readonly<{sequence: number; target: string}>, from: string, nowMillis: number): readonly Outgoing[] {
		const record = members.get(target);
		if (!record) {
			return [];
		}

		sequence++;
		relays.set(sequence, {address: from, sequence: askedSequence, sentAtMillis: nowMillis});
		return [sendTo(record, {$case: 'ping', ping: {sequence}}, nowMillis)];
	}

	/** Notes that the sender was heard; returns its record, without a suspicion that only this entry held. */
	function noteSender(id: string, nowMillis: number): MemberRecord | undefined {
		heardAtMillis = nowMillis;
		const record = members.get(id);
		if (!record?.isSuspicionLocal) {
			return record;
		}

		const cleared = {...record, suspectedAtMillis: undefined, isSuspicionLocal: false};
		update(id, cleared);
		return cleared;
	}

	function answer({body, sender}: MemberDatagram, from: string, nowMillis: number): readonly Outgoing[] {
		return match(body)
			.with({$case: 'ping'}, ({ping}) => {
				const ack: Body = {$case: 'ack', ack: {sequence: ping.sequence}};
				const record = members.get(sender);
				return [{...(record ? sendTo(record, ack, nowMillis) : {datagram: build([own], ack, nowMillis)}), address: from}];
			})
			.with({$case: 'ack'}, ({ack}) => receiveAck(ack.sequence, nowMillis))
			.with({$case: 'indirectPing'}, ({indirectPing}) => relayPing(indirectPing, from, nowMillis))
			.with({$case: 'syncRequest'}, () => sendAllClaims(from, nowMillis))
			.with(undefined, () => [])
			.exhaustive();
	}

	/** Repairs a difference between two views, once the last changes have had time to spread. */
	function compareViews({digest, body}: MemberDatagram, from: string, nowMillis: number): readonly Outgoing[] {
		const hasSettled = nowMillis - changedAtMillis > GOSSIP_SPREAD_MILLIS && nowMillis - syncedAtMillis > probeIntervalMillis;
		const isExchange = body?.$case === 'ping' || body?.$case === 'ack';
		return isExchange && hasSettled && digest !== readDigest(nowMillis) ? sendAllClaims(from, nowMillis) : [];
	}

	function receiveCurrent(datagram: MemberDatagram, from: string, nowMillis: number): readonly Outgoing[] {
		for (const claim of datagram.claims) {
			applyClaim(claim, nowMillis);
		}

		const sender = noteSender(datagram.sender, nowMillis);
		const {generation, incarnation} = datagram;
		const isAhead = !sender || generation > sender.claim.generation || (generation === sender.claim.generation && incarnation > sender.claim.incarnation);
		return [
			...answer(datagram, from, nowMillis),
			...(isAhead ? [{address: from, datagram: build([own], {$case: 'syncRequest', syncRequest: {}}, nowMillis)}] : []),
			...compareViews(datagram, from, nowMillis),
		];
	}

	return {
		tick(nowMillis) {
			allowForDelay(nowMillis);
			const sent = [
				...followUpProbes(nowMillis),
				...(nowMillis >= nextProbeAtMillis ? startRound(nowMillis) : []),
			];
			if (gossipRounds.size > 0 && nowMillis >= nextGossipAtMillis) {
				const passedOn = gossip(nowMillis, GOSSIP_FANOUT);
				// Without live members, nobody can be told before the next round of probes.
				nextGossipAtMillis = passedOn.length > 0 ? nowMillis + GOSSIP_PAUSE_MILLIS : nextProbeAtMillis;
				sent.push(...passedOn);
			}

			forget(nowMillis);
			reportChanges(nowMillis);
			scheduleNext();
			return sent;
		},
		receive(datagram, from, nowMillis) {
			if (datagram.sender === self.id) {
				return [];
			}

			const known = members.get(datagram.sender);
			if (known && datagram.generation < known.claim.generation) {
				// An earlier process of that instance; it learns that it has a successor.
				return [{address: from, datagram: build([known.claim], undefined, nowMillis)}];
			}

			if (datagram.store) {
				deps.onStoreView(datagram.store, nowMillis);
			}

			const sent = receiveCurrent(datagram, from, nowMillis);
			reportChanges(nowMillis);
			scheduleNext();
			return sent;
		},
		addSeeds(seeds, nowMillis) {
			for (const seed of seeds.filter(({id}) => id !== self.id && !members.has(id))) {
				update(seed.id, {
					claim: toSeedClaim(seed), isVerified: false, suspectedAtMillis: undefined, isSuspicionLocal: false, addedAtMillis: nowMillis,
				});
			}

			reportChanges(nowMillis);
		},
		setReady(isReady, nowMillis) {
			if (own.ready !== isReady && !hasLeft()) {
				setOwn({ready: isReady, incarnation: own.incarnation + 1}, nowMillis);
				scheduleNext();
			}
		},
		leave(nowMillis) {
			setOwn({status: MemberStatus.LEFT, ready: false, incarnation: own.incarnation + 1}, nowMillis);
			const sent = gossip(nowMillis, GOSSIP_FANOUT * GOSSIP_ROUNDS);
			scheduleNext();
			return sent;
		},
		list: nowMillis => [...members.values()].map((record): MemberView => {
			const {claim, addedAtMillis, suspectedAtMillis} = record;
			return {
				claim, addedAtMillis, suspectedAtMillis, state: readState(record, nowMillis),
			};
		}),
		readSelf: () => own,
		nextDueMillis: () => expectedTickMillis === Infinity ? 0 : expectedTickMillis,
	};
}

function toSeedClaim(seed: SelfDescription): MemberClaim {
	return {
		...seed, incarnation: SEED_INCARNATION, status: MemberStatus.ALIVE, ready: false,
	};
}
