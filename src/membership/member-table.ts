/** What one entry knows of the others and of itself: the newest claim about each, its own suspicions, and the claims to pass on. */
import {sum} from '../decisions/sum.js';
import {MemberStatus, type MemberClaim} from '../wire/generated/membership.js';
import type {MemberChange, SelfDescription} from './failure-detector-types.js';
import {
	adoptCapacity, compareClaims, hashClaim, isLive, readMemberState, type MemberRecord, type MemberState,
} from './member.js';
import {FORGET_MILLIS, GOSSIP_ROUNDS} from './membership-constants.js';

/** Incarnation of members known only from rows of the store; lower than any that a member claims. */
const SEED_INCARNATION = -1;
/** Digests are compared as 32-bit numbers. */
const DIGEST_VALUES = 2 ** 32;

/** How a claim about this entry itself was taken. `refuted`: it was suspected and has denied that. */
export type OwnClaimOutcome = 'ignored' | 'refuted' | 'superseded';

/** The members as one entry knows them. Times are of its monotonic clock, in milliseconds. */
export type MemberTable = Readonly<{
	readSelf: () => MemberClaim;
	/** Changes the state of this entry, for all to know. */
	updateSelf: (changed: Pick<MemberClaim, 'ready' | 'status'>, nowMillis: number) => void;
	read: (id: string) => MemberRecord | undefined;
	readState: (record: MemberRecord, nowMillis: number) => MemberState;
	/** Members other than this entry whose state is wanted. */
	list: (nowMillis: number, isWanted: (state: MemberState) => boolean) => readonly MemberRecord[];
	/** Applies a claim about another member if it is newer than what is known. */
	applyClaim: (claim: MemberClaim, nowMillis: number) => void;
	applyOwnClaim: (claim: MemberClaim, nowMillis: number) => OwnClaimOutcome;
	/** Adds an address at which a member may be found. */
	addSeed: (seed: SelfDescription, nowMillis: number) => void;
	/** Suspects a member; returns the claim to tell the others, or undefined if only this entry is to know. */
	suspect: (id: string, isLocal: boolean, nowMillis: number) => MemberClaim | undefined;
	/** Drops a suspicion that only this entry has. */
	clearLocalSuspicion: (id: string) => void;
	/** Forgets members that have been gone for long. */
	forget: (nowMillis: number) => void;
	/** Hash of the live members; equal views have equal digests. */
	readDigest: (nowMillis: number) => number;
	/** All claims that this entry stands for, also about members that are dead or have left, which others may believe to be live. */
	listClaims: () => readonly MemberClaim[];
	/** Claims that are still to be passed on. */
	listPendingClaims: () => readonly MemberClaim[];
	/** Counts a round of gossip with the pending claims. */
	finishGossipRound: () => void;
	/** When the last claim was added to those to be passed on. */
	changedAtMillis: () => number;
	/** Members whose state differs from that at the last call. */
	takeChanges: (nowMillis: number) => readonly MemberChange[];
}>;

/** Creates the table of an entry that knows no other. A suspicion becomes a death after `suspicionMillis`. */
export function createMemberTable(self: SelfDescription, suspicionMillis: number): MemberTable {
	let own: MemberClaim = {
		...self, incarnation: 0, status: MemberStatus.ALIVE, ready: false,
	};
	let members: ReadonlyMap<string, MemberRecord> = new Map();
	let reportedStates: ReadonlyMap<string, MemberState> = new Map();
	/** Rounds of gossip left for the claim about each member. */
	const gossipRounds = new Map<string, number>([[self.id, GOSSIP_ROUNDS]]);
	let changedAtMillis = -Infinity;

	const readState = (record: MemberRecord, nowMillis: number) => readMemberState(record, nowMillis, suspicionMillis);

	function list(nowMillis: number, isWanted: (state: MemberState) => boolean): readonly MemberRecord[] {
		return [...members.values()].filter(record => isWanted(readState(record, nowMillis)));
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

	/** Claim about a member, unless this entry itself doubts it: the others would take it for a proof of life and tell it back. */
	function findClaimToTell(id: string): MemberClaim | undefined {
		const record = members.get(id);
		return record?.isVerified && !record.isSuspicionLocal ? record.claim : undefined;
	}

	function passOn(id: string, nowMillis: number): void {
		gossipRounds.set(id, GOSSIP_ROUNDS);
		changedAtMillis = nowMillis;
	}

	function setOwn(changed: Partial<MemberClaim>, nowMillis: number): void {
		own = {...own, ...changed};
		passOn(self.id, nowMillis);
	}

	return {
		readSelf: () => own,
		updateSelf(changed, nowMillis) {
			setOwn({...changed, incarnation: own.incarnation + 1}, nowMillis);
		},
		read: id => members.get(id),
		readState,
		list,
		applyClaim(claim, nowMillis) {
			const known = members.get(claim.id);
			const order = known ? compareClaims(claim, known.claim) : 1;
			if (!known && claim.status !== MemberStatus.ALIVE) {
				// The end of a member that this entry never knew, or has forgotten, changes nothing.
				return;
			}

			if (order > 0) {
				update(claim.id, {
					claim: adoptCapacity(claim, known?.claim),
					isVerified: true,
					suspectedAtMillis: claim.status === MemberStatus.SUSPECT ? known?.suspectedAtMillis ?? nowMillis : undefined,
					isSuspicionLocal: false,
					addedAtMillis: known?.addedAtMillis ?? nowMillis,
				});
				passOn(claim.id, nowMillis);
			} else if (order === 0 && known?.isSuspicionLocal) {
				update(claim.id, {
					...known, claim: adoptCapacity(known.claim, claim), suspectedAtMillis: undefined, isSuspicionLocal: false,
				});
			} else if (known) {
				update(claim.id, {...known, claim: adoptCapacity(known.claim, claim)});
			}
		},
		applyOwnClaim(claim, nowMillis) {
			if (claim.generation > own.generation) {
				return 'superseded';
			}

			const isSuspected = claim.generation === own.generation && claim.status === MemberStatus.SUSPECT && claim.incarnation >= own.incarnation;
			if (!isSuspected || own.status === MemberStatus.LEFT) {
				return 'ignored';
			}

			setOwn({incarnation: claim.incarnation + 1}, nowMillis);
			return 'refuted';
		},
		addSeed(seed, nowMillis) {
			if (seed.id === self.id || members.has(seed.id)) {
				return;
			}

			const claim: MemberClaim = {
				...seed, incarnation: SEED_INCARNATION, status: MemberStatus.ALIVE, ready: false,
			};
			update(seed.id, {
				claim, isVerified: false, suspectedAtMillis: undefined, isSuspicionLocal: false, addedAtMillis: nowMillis,
			});
		},
		suspect(id, isLocal, nowMillis) {
			const record = members.get(id);
			if (!record || !isLive(readState(record, nowMillis))) {
				return undefined;
			}

			if (isLocal) {
				update(id, {...record, suspectedAtMillis: nowMillis, isSuspicionLocal: true});
				return undefined;
			}

			const claim = {...record.claim, status: MemberStatus.SUSPECT};
			update(id, {...record, claim, suspectedAtMillis: nowMillis});
			passOn(id, nowMillis);
			return claim;
		},
		clearLocalSuspicion(id) {
			const record = members.get(id);
			if (record?.isSuspicionLocal) {
				update(id, {...record, suspectedAtMillis: undefined, isSuspicionLocal: false});
			}
		},
		forget(nowMillis) {
			for (const [id, record] of members) {
				const state = readState(record, nowMillis);
				const goneSinceMillis = record.suspectedAtMillis ?? record.addedAtMillis;
				if (!isLive(state) && state !== 'suspect' && nowMillis - goneSinceMillis > FORGET_MILLIS) {
					update(id, undefined);
				}
			}
		},
		readDigest(nowMillis) {
			const claims = list(nowMillis, state => isLive(state) || state === 'suspect').filter(({isSuspicionLocal}) => !isSuspicionLocal).map(({claim}) => claim);
			return sum([...claims, ...(own.status === MemberStatus.LEFT ? [] : [own])].map(claim => hashClaim(claim))) % DIGEST_VALUES;
		},
		listClaims: () => [own, ...[...members.keys()].map(id => findClaimToTell(id)).filter(claim => claim !== undefined)],
		listPendingClaims: () => [...gossipRounds.keys()]
			.map(id => id === self.id ? own : findClaimToTell(id))
			.filter(claim => claim !== undefined),
		finishGossipRound() {
			for (const [id, rounds] of gossipRounds) {
				if (rounds > 1) {
					gossipRounds.set(id, rounds - 1);
				} else {
					gossipRounds.delete(id);
				}
			}
		},
		changedAtMillis: () => changedAtMillis,
		takeChanges(nowMillis) {
			const states = new Map([...members].map(([id, record]) => [id, readState(record, nowMillis)]));
			const changes = [...members.values()].flatMap(({claim}): readonly MemberChange[] => {
				const before = reportedStates.get(claim.id);
				const after = states.get(claim.id);
				return after === undefined || before === after ? [] : [{claim, before, after}];
			});
			reportedStates = states;
			return changes;
		},
	};
}
