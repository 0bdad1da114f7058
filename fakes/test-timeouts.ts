/** Timeouts for tests, in milliseconds. No test outcome depends on a race against one of them. */

/** For calls that never get a response. */
export const HOPELESS_TIMEOUT_MILLIS = 200;
/** For tests in which some calls get a response and others never do. */
export const MIXED_TIMEOUT_MILLIS = 1500;
/** For calls that always get a response. */
export const PATIENT_TIMEOUT_MILLIS = 20_000;
