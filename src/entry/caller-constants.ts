/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 256;
/** Largest number of output tokens that a caller may request. */
export const MAX_TOKENS = 100_000;
/** `Retry-After` of an unknown outcome that a retry may still resolve, in milliseconds. */
export const UNKNOWN_RETRY_AFTER_MILLIS = 1000;
