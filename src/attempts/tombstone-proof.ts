import {MAX_TOMBSTONE_PROOF_AGE_MILLIS} from './attempt-constants.js';

/**
 * Whether a recorded tombstone proves that an attempt did not run.
 *
 * An agent forgets ended attempts after a time, so for an older attempt, such as one of an entry that was paused, the
 * tombstone says nothing. A call that must not be repeated is not concerned: the ledger never forgets it.
 *
 * @param ageMillis - time from the creation of the attempt to the arrival of the reply
 */
export function isTombstoneProof(ageMillis: number): boolean {
	return ageMillis <= MAX_TOMBSTONE_PROOF_AGE_MILLIS;
}
