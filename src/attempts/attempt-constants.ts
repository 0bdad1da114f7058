/**
 * Time that a finished or tombstoned attempt is remembered, in milliseconds.
 *
 * It is longer than any deadline and than the time after which a silent link is closed, so that no start frame can
 * arrive after the tombstone of its attempt was forgotten.
 */
export const ATTEMPT_RETENTION_MILLIS = 600_000;

/**
 * Largest age of an attempt, in milliseconds, at which an entry may take a recorded tombstone as proof.
 *
 * The entry measures the age from the creation of the attempt to the arrival of the reply. An older attempt may
 * have run and been forgotten.
 */
export const MAX_TOMBSTONE_PROOF_AGE_MILLIS = 300_000;

/** Largest number of attempts remembered at once. */
export const MAX_REMEMBERED_ATTEMPTS = 200_000;
