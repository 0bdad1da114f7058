import {MAX_TOMBSTONE_PROOF_AGE_MILLIS} from './attempt-constants.js';

/**
 * Whether a recorded tombstone proves that an attempt did not run.
 *
 * An agent drops ended attempts after a time, so for an older attempt, such as one of an entry that was paused, the
 * tombstone proves nothing. Calls that must not run twice are not affected, since the ledger never drops them.
 *
 * @param ageMillis - time from the creation of the attempt to the arrival of the reply
 */
export function isTombstoneProof(ageMillis: number): boolean {
	return ageMillis <= MAX_TOMBSTONE_PROOF_AGE_MILLIS;
}
