/** Timeout of a request to another entry, in milliseconds. */
export const PEER_TIMEOUT_MILLIS = 1000;
/** Time for which another entry counts as draining after it last reported so, in milliseconds. */
export const PEER_DRAIN_RETENTION_MILLIS = 120_000;
/** Longest wait for the other processes to confirm a new configuration, in milliseconds. */
export const CONFIRM_TIMEOUT_MILLIS = 3000;
/** Time between two polls for confirmations, in milliseconds. */
export const CONFIRM_POLL_INTERVAL_MILLIS = 100;
/** Largest body of an operator request, in bytes. */
export const MAX_OPERATOR_BODY_BYTES = 1_048_576;
