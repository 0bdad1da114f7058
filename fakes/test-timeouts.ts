/** Timeouts for tests, in milliseconds; none of them decides an outcome by a race. */

/** For calls that are never answered. */
export const HOPELESS_TIMEOUT_MILLIS = 200;
/** For tests in which some calls are answered and others never. */
export const MIXED_TIMEOUT_MILLIS = 1500;
/** For calls that are always answered. */
export const PATIENT_TIMEOUT_MILLIS = 20_000;
