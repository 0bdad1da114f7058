/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 256;
/** Largest number of tokens a caller may ask for. */
export const MAX_TOKENS = 100_000;
/** Time after which a caller may ask again about an unknown outcome that can still become known, in milliseconds. */
export const UNKNOWN_RETRY_AFTER_MILLIS = 1000;
