/**
 * Failure detector of the entries, in the manner of SWIM and Lifeguard: probes, indirect probes, suspicions that the suspected
 * member can refute, and claims that ride on the datagrams. Only suspicions travel, never deaths: each entry concludes by itself
 * that a member is dead, so that a healed partition does not spread deaths that are not true.
 */
import {match} from 'ts-pattern';
import {MemberStatus, type MemberClaim, type MemberDatagram} from '../wire/generated/membership.js';
import type {
	FailureDetector, FailureDetectorDeps, MemberView, Outgoing,
} from './failure-detector-types.js';
import {isLive, type MemberRecord} from './member.js';
import {createMemberTable} from './member-table.js';
import {
	CLAIMS_PER_DATAGRAM, GOSSIP_FANOUT, GOSSIP_PAUSE_MILLIS, GOSSIP_ROUNDS, GOSSIP_SPREAD_MILLIS, INDIRECT_PROBERS, JOIN_RATE, RING_PROBES,
} from './membership-constants.js';
import {listSuccessors} from './probe-ring.js';
import {createProbeTracker, type Probe} from './probe-tracker.js';

type Body = NonNullable<MemberDatagram['body']>;

/** Share of a probe interval by which the pauses between rounds vary, so that entries do not probe in step. */
const INTERVAL_JITTER = 0.2;

/** Creates the detector of an entry that knows no other yet. */
export function createFailureDetector(deps: FailureDetectorDeps): FailureDetector {
	const {self, random, timing: {probeIntervalMillis, ackTimeoutMillis, suspicionMillis}} = deps;
	const table = createMemberTable(self, suspicionMillis);
	const probes = createProbeTracker(ackTimeoutMillis);
	let nextProbeAtMillis = 0;
	let nextGossipAtMillis = 0;
	let nextTickMillis = 0;
	let heardAtMillis = -Infinity;
	let syncedAtMillis = -Infinity;
	let isSuperseded = false;
	/** Suspected members that were asked directly, with the time of the suspicion. */
	let askedSuspects: ReadonlyMap<string, number> = new Map();

	/** Whether acks include the claim about this entry: entries of an older version pass it on without the capacity. */
	const statesCapacity = self.cpuCores !== undefined || self.linkMbps !== undefined;

	const hasLeft = () => table.readSelf().status === MemberStatus.LEFT;
	const listLive = (nowMillis: number) => table.list(nowMillis, isLive);

	/** Draws up to `count` of the records. */
	function draw(records: readonly MemberRecord[], count: number): readonly MemberRecord[] {
		const left = [...records];
		const drawn: MemberRecord[] = [];
		while (drawn.length < count && left.length > 0) {
			drawn.push(...left.splice(Math.floor(random() * left.length), 1));
		}

		return drawn;
	}

	function build(claims: readonly MemberClaim[], body: Body | undefined, nowMillis: number): MemberDatagram {
		return {
			sender: self.id,
			generation: self.generation,
			incarnation: table.readSelf().incarnation,
			digest: table.readDigest(nowMillis),
			store: deps.describeStore(nowMillis),
			claims: claims.slice(0, CLAIMS_PER_DATAGRAM),
			body,
			crashDigest: 0,
			crashes: [],
			limitDigest: 0,
			limits: [],
			sparePermits: [],
			loan: undefined,
		};
	}

	/** Addresses a datagram to a member; a suspected one gets the claim to refute it, and one that may not know this entry gets the claim about this entry. */
	function sendTo({claim, isVerified, suspectedAtMillis}: MemberRecord, body: Body, nowMillis: number, includesSelf = false): Outgoing {
		const first = [
			...(claim.status === MemberStatus.SUSPECT ? [claim] : []),
			...(includesSelf || !isVerified || suspectedAtMillis !== undefined ? [table.readSelf()] : []),
		];
		return {address: claim.gossipAddress, datagram: build([...new Set([...first, ...table.listPendingClaims()])], body, nowMillis)};
	}

	/** Sends claims in as many datagrams as they need. */
	function sendClaims(address: string, claims: readonly MemberClaim[], nowMillis: number): readonly Outgoing[] {
		const count = Math.ceil(claims.length / CLAIMS_PER_DATAGRAM);
		return Array.from({length: count}, (_, i) => ({
			address, datagram: build(claims.slice(i * CLAIMS_PER_DATAGRAM, (i + 1) * CLAIMS_PER_DATAGRAM), undefined, nowMillis),
		}));
	}

	function sendView(address: string, nowMillis: number): readonly Outgoing[] {
		syncedAtMillis = nowMillis;
		return sendClaims(address, table.listClaims(), nowMillis);
	}

	function applyClaim(claim: MemberClaim, nowMillis: number): void {
		if (claim.id !== self.id) {
			table.applyClaim(claim, nowMillis);
			return;
		}

		const outcome = table.applyOwnClaim(claim, nowMillis);
		if (outcome === 'refuted') {
			probes.noteSuspicion();
		} else if (outcome === 'superseded' && !isSuperseded) {
			isSuperseded = true;
			deps.onSuperseded(claim.generation);
		}
	}

	/** Suspects a member. If nobody was heard around the time of the probe, the fault may be on this entry's side, and the others are not told. */
	function suspect({target, sentAtMillis, wasAlone}: Probe, nowMillis: number): readonly Outgoing[] {
		const claim = table.suspect(target, wasAlone || heardAtMillis <= sentAtMillis, nowMillis);
		return claim ? [{address: claim.gossipAddress, datagram: build([claim], undefined, nowMillis)}] : [];
	}

	function startProbe(record: MemberRecord, isOnRing: boolean, nowMillis: number): Outgoing {
		const wasAlone = nowMillis - heardAtMillis > probeIntervalMillis;
		const sequence = probes.start({target: record.claim.id, isOnRing, wasAlone}, nowMillis);
		return sendTo(record, {$case: 'ping', ping: {sequence}}, nowMillis);
	}

	/** Probes the next live members on the ring that are not being probed. */
	function probeRing(nowMillis: number): readonly Outgoing[] {
		const probed = probes.listTargets();
		const live = new Map(listLive(nowMillis).map(record => [record.claim.id, record]));
		return listSuccessors(self.id, live.keys())
			.slice(0, RING_PROBES + probed.size)
			.filter(id => !probed.has(id))
			.slice(0, RING_PROBES)
			.map(id => live.get(id))
			.filter(record => record !== undefined)
			.map(record => startProbe(record, true, nowMillis));
	}

	/** Probes one other entry at random, dead ones too, because a partition may have healed. */
	function probeAnyone(nowMillis: number): readonly Outgoing[] {
		const probed = probes.listTargets();
		const candidates = table.list(nowMillis, state => state !== 'left' && state !== 'unverified').filter(({claim}) => !probed.has(claim.id));
		return draw(candidates, 1).map(record => startProbe(record, false, nowMillis));
	}

	/** Asks entries that are known only from the store, to join the group or to find the rest of it. */
	function askSeeds(hasMembers: boolean, nowMillis: number): readonly Outgoing[] {
		return draw(table.list(nowMillis, state => state === 'unverified'), hasMembers ? 1 : GOSSIP_FANOUT)
			.map(record => sendTo(record, {$case: 'syncRequest', syncRequest: {}}, nowMillis));
	}

	function startRound(nowMillis: number): readonly Outgoing[] {
		const hasMembers = listLive(nowMillis).length > 0;
		const jitter = 1 + (INTERVAL_JITTER * (random() - 0.5));
		nextProbeAtMillis = nowMillis + (probeIntervalMillis * jitter / (hasMembers ? 1 : JOIN_RATE));
		return hasLeft() || isSuperseded ? [] : [...probeRing(nowMillis), ...probeAnyone(nowMillis), ...askSeeds(hasMembers, nowMillis)];
	}

	/**
	 * Tries the paths through other members. The next members on the ring are observed meanwhile; each step doubles their number,
	 * as many may be dead.
	 */
	function probeIndirectly(probe: Probe, nowMillis: number): readonly Outgoing[] {
		const {sequence, target} = probe;
		const record = table.read(target);
		if (!record) {
			probes.end(sequence);
			return [];
		}

		probes.startIndirect(probe, nowMillis);
		const helpers = draw(listLive(nowMillis).filter(({claim}) => claim.id !== target), INDIRECT_PROBERS);
		return [
			sendTo(record, {$case: 'ping', ping: {sequence}}, nowMillis),
			...helpers.map(helper => sendTo(helper, {$case: 'indirectPing', indirectPing: {sequence, target}}, nowMillis)),
			...(probe.isOnRing ? probeRing(nowMillis) : []),
		];
	}

	function followUpProbes(nowMillis: number): readonly Outgoing[] {
		return probes.listDue(nowMillis).flatMap(probe => {
			if (probe.stage === 'direct') {
				return probeIndirectly(probe, nowMillis);
			}

			probes.end(probe.sequence);
			return suspect(probe, nowMillis);
		});
	}

	/** When each suspected member that has not been asked is to be asked. */
	function listUnaskedSuspects(nowMillis: number): ReadonlyArray<Readonly<{record: MemberRecord; askAtMillis: number}>> {
		return table.list(nowMillis, state => state === 'suspect').flatMap(record => {
			const suspectedAtMillis = record.suspectedAtMillis ?? nowMillis;
			const isAsked = askedSuspects.get(record.claim.id) === suspectedAtMillis;
			return isAsked ? [] : [{record, askAtMillis: suspectedAtMillis + (suspicionMillis / 2)}];
		});
	}

	/** Asks suspected members directly, halfway to the conclusion that they are dead: gossip may not have brought their refutation here. */
	function askSuspects(nowMillis: number): readonly Outgoing[] {
		const due = listUnaskedSuspects(nowMillis).filter(({askAtMillis}) => askAtMillis <= nowMillis).map(({record}) => record);
		const stillSuspected = [...askedSuspects].filter(([id, atMillis]) => table.read(id)?.suspectedAtMillis === atMillis);
		askedSuspects = new Map([...stillSuspected, ...due.map(({claim, suspectedAtMillis}) => [claim.id, suspectedAtMillis ?? nowMillis] as const)]);
		return due.map(record => startProbe(record, false, nowMillis));
	}

	/** Passes the pending claims on to a few live members. */
	function gossip(fanout: number, nowMillis: number): readonly Outgoing[] {
		const claims = table.listPendingClaims();
		const targets = draw(listLive(nowMillis), fanout);
		if (targets.length > 0) {
			table.finishGossipRound();
		}

		return targets.flatMap(({claim}) => sendClaims(claim.gossipAddress, claims, nowMillis));
	}

	function gossipIfDue(nowMillis: number): readonly Outgoing[] {
		if (table.listPendingClaims().length === 0 || nowMillis < nextGossipAtMillis) {
			return [];
		}

		const sent = gossip(GOSSIP_FANOUT, nowMillis);
		// Without live members, nobody can be told before the next round of probes.
		nextGossipAtMillis = sent.length > 0 ? nowMillis + GOSSIP_PAUSE_MILLIS : nextProbeAtMillis;
		return sent;
	}

	/** Runs a step, then reports the changes of state and schedules the next tick. */
	function act(nowMillis: number, step: () => readonly Outgoing[]): readonly Outgoing[] {
		const hadPending = table.listPendingClaims().length > 0;
		const sent = step();
		const hasPending = table.listPendingClaims().length > 0;
		if (hasPending && !hadPending) {
			// Claims that arrive together share a datagram.
			nextGossipAtMillis = nowMillis + GOSSIP_PAUSE_MILLIS;
		}

		for (const change of table.takeChanges(nowMillis)) {
			deps.onChange(change);
		}

		const dueMillis = Math.min(nextProbeAtMillis, probes.nextDueMillis(), ...listUnaskedSuspects(nowMillis).map(({askAtMillis}) => askAtMillis));
		nextTickMillis = hasPending ? Math.min(dueMillis, nextGossipAtMillis) : dueMillis;
		return sent;
	}

	function receiveAck(sequence: number, nowMillis: number): readonly Outgoing[] {
		const relay = probes.takeRelay(sequence);
		if (relay) {
			return [{address: relay.address, datagram: build(table.listPendingClaims(), {$case: 'ack', ack: {sequence: relay.sequence}}, nowMillis)}];
		}

		probes.noteAnswer(sequence);
		return [];
	}

	function relayPing({sequence, target}: Readonly<{sequence: number; target: string}>, from: string, nowMillis: number): readonly Outgoing[] {
		const record = table.read(target);
		return record ? [sendTo(record, {$case: 'ping', ping: {sequence: probes.startRelay(from, sequence, nowMillis)}}, nowMillis)] : [];
	}

	function answer({body, sender}: MemberDatagram, from: string, nowMillis: number): readonly Outgoing[] {
		return match(body)
			.with({$case: 'ping'}, ({ping}) => {
				const ack: Body = {$case: 'ack', ack: {sequence: ping.sequence}};
				const record = table.read(sender);
				const datagram = record ? sendTo(record, ack, nowMillis, statesCapacity).datagram : build([table.readSelf()], ack, nowMillis);
				return [{address: from, datagram}];
			})
			.with({$case: 'ack'}, ({ack}) => receiveAck(ack.sequence, nowMillis))
			.with({$case: 'indirectPing'}, ({indirectPing}) => relayPing(indirectPing, from, nowMillis))
			.with({$case: 'syncRequest'}, () => sendView(from, nowMillis))
			.with(undefined, () => [])
			.exhaustive();
	}

	/** Repairs a difference between two views, once the last changes have had time to spread. */
	function compareViews({digest, body}: MemberDatagram, from: string, nowMillis: number): readonly Outgoing[] {
		const hasSettled = nowMillis - table.changedAtMillis() > GOSSIP_SPREAD_MILLIS && nowMillis - syncedAtMillis > probeIntervalMillis;
		const isExchange = body?.$case === 'ping' || body?.$case === 'ack';
		return isExchange && hasSettled && digest !== table.readDigest(nowMillis) ? sendView(from, nowMillis) : [];
	}

	/** Whether a datagram shows that this entry lacks the newest claim about its sender. */
	function isSenderAhead({sender, generation, incarnation}: MemberDatagram): boolean {
		const known = table.read(sender)?.claim;
		return !known || generation > known.generation || (generation === known.generation && incarnation > known.incarnation);
	}

	function receive(datagram: MemberDatagram, from: string, nowMillis: number): readonly Outgoing[] {
		const known = table.read(datagram.sender)?.claim;
		if (known && datagram.generation < known.generation) {
			// An earlier process of that instance; it learns that it has a successor.
			return [{address: from, datagram: build([known], undefined, nowMillis)}];
		}

		if (datagram.store) {
			deps.onStoreView(datagram.store, nowMillis);
		}

		heardAtMillis = nowMillis;
		for (const claim of datagram.claims) {
			applyClaim(claim, nowMillis);
		}

		table.clearLocalSuspicion(datagram.sender);
		return [
			...answer(datagram, from, nowMillis),
			...(isSenderAhead(datagram) ? [{address: from, datagram: build([table.readSelf()], {$case: 'syncRequest', syncRequest: {}}, nowMillis)}] : []),
			...compareViews(datagram, from, nowMillis),
		];
	}

	return {
		tick(nowMillis) {
			if (nowMillis - nextTickMillis > ackTimeoutMillis && nextTickMillis > 0) {
				probes.noteDelay(nowMillis - nextTickMillis);
			}

			return act(nowMillis, () => {
				table.forget(nowMillis);
				probes.dropRelays(nowMillis - probeIntervalMillis);
				return [
					...followUpProbes(nowMillis),
					...askSuspects(nowMillis),
					...(nowMillis >= nextProbeAtMillis ? startRound(nowMillis) : []),
					...gossipIfDue(nowMillis),
				];
			});
		},
		receive: (datagram, from, nowMillis) => datagram.sender === self.id ? [] : act(nowMillis, () => receive(datagram, from, nowMillis)),
		addSeeds(seeds, nowMillis) {
			for (const seed of seeds) {
				table.addSeed(seed, nowMillis);
			}
		},
		setReady(isReady, nowMillis) {
			if (table.readSelf().ready !== isReady && !hasLeft()) {
				act(nowMillis, () => {
					table.updateSelf({ready: isReady, status: MemberStatus.ALIVE}, nowMillis);
					return [];
				});
			}
		},
		leave: nowMillis => act(nowMillis, () => {
			table.updateSelf({ready: false, status: MemberStatus.LEFT}, nowMillis);
			return gossip(GOSSIP_FANOUT * GOSSIP_ROUNDS, nowMillis);
		}),
		list: nowMillis => table.list(nowMillis, () => true).map((record): MemberView => ({
			claim: record.claim,
			state: table.readState(record, nowMillis),
			addedAtMillis: record.addedAtMillis,
			suspectedAtMillis: record.suspectedAtMillis,
		})),
		readSelf: table.readSelf,
		createDatagram: nowMillis => build([], undefined, nowMillis),
		nextDueMillis: () => nextTickMillis,
	};
}
