/** Members of the group of entries, and the order of the claims about them. */
import {crc32} from 'node:zlib';
import {MemberStatus, type MemberClaim} from '../wire/generated/membership.js';

/** What one entry knows about another. */
export type MemberRecord = Readonly<{
	claim: MemberClaim;
	/** Whether an entry, this one or another, has vouched for the member; rows of the store alone do not. */
	isVerified: boolean;
	/** Since when the member has been suspected, by the monotonic clock; undefined while it is not. */
	suspectedAtMillis: number | undefined;
	/** Whether only this entry suspects the member, as when its own link may be at fault. */
	isSuspicionLocal: boolean;
	/** When the record was created, by the monotonic clock. */
	addedAtMillis: number;
}>;

/** State of a member as one entry believes it. */
export type MemberState = 'unverified' | 'starting' | 'ready' | 'suspect' | 'dead' | 'left';

/** Whether a member is known to live, ready or not. */
export function isLive(state: MemberState): boolean {
	return state === 'ready' || state === 'starting';
}

/** Orders the claims about one member; positive if `left` replaces `right`. */
export function compareClaims(left: MemberClaim, right: MemberClaim): number {
	const hasLeft = (claim: MemberClaim) => Number(claim.status === MemberStatus.LEFT);
	return left.generation - right.generation
		// Leaving is final for a generation.
		|| hasLeft(left) - hasLeft(right)
		|| left.incarnation - right.incarnation
		|| left.status - right.status;
}

/**
 * Returns the claim with the capacity that another claim about the same process states, where it states none itself: an entry of
 * an older version passes claims on without it. A process has the same capacity for as long as it runs.
 */
export function adoptCapacity(claim: MemberClaim, other: MemberClaim | undefined): MemberClaim {
	const lacksCapacity = claim.cpuCores === undefined && claim.linkMbps === undefined;
	return lacksCapacity && other?.generation === claim.generation ? {...claim, cpuCores: other.cpuCores, linkMbps: other.linkMbps} : claim;
}

/** Derives the state of a member; a suspicion that is not refuted within `suspicionMillis` means that it is dead. */
export function readMemberState({claim, isVerified, suspectedAtMillis}: MemberRecord, nowMillis: number, suspicionMillis: number): MemberState {
	if (claim.status === MemberStatus.LEFT) {
		return 'left';
	}

	if (!isVerified) {
		return 'unverified';
	}

	if (suspectedAtMillis !== undefined) {
		return nowMillis - suspectedAtMillis < suspicionMillis ? 'suspect' : 'dead';
	}

	return claim.ready ? 'ready' : 'starting';
}

/** Hash of a claim; the sum of the hashes compares two views. */
export function hashClaim({id, generation, incarnation, status}: MemberClaim): number {
	return crc32(`${id}|${generation}|${incarnation}|${status}`);
}
