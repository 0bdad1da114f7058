/** Time in which a caller must have sent the headers and the body of a request, in milliseconds. */
export const REQUEST_TIMEOUT_MILLIS = 10_000;
/** Time between two looks for connections past the request timeout, in milliseconds. */
export const CONNECTION_CHECK_MILLIS = 1000;
/** Longest idempotency key, in characters. */
export const MAX_KEY_LENGTH = 256;
/** Largest number of tokens a caller may ask for. */
export const MAX_TOKENS = 100_000;
/** Time after which a caller may ask again about an unknown outcome that can still become known, in milliseconds. */
export const UNKNOWN_RETRY_MILLIS = 1000;
/** Longest wait for responses under way when a listener closes, in milliseconds. */
export const CLOSE_TIMEOUT_MILLIS = 5000;
