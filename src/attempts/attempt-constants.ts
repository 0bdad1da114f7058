/**
 * How long a finished or tombstoned attempt is kept, in milliseconds.
 *
 * It is longer than any deadline and than the time after which an unresponsive link is closed, so that no start frame can
 * arrive after the tombstone of its attempt has expired.
 */
export const ATTEMPT_RETENTION_MILLIS = 600_000;

/**
 * Maximum age of an attempt, in milliseconds, at which an entry may accept a recorded tombstone as proof.
 *
 * The entry measures the age from the creation of the attempt to the arrival of the reply. An older attempt may have run
 * and expired since.
 */
export const MAX_TOMBSTONE_PROOF_AGE_MILLIS = 300_000;

/** Maximum number of attempts in the table. */
export const MAX_REMEMBERED_ATTEMPTS = 200_000;
