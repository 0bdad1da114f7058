/** Longest wait for responses under way when a listener closes, in milliseconds. */
export const CLOSE_TIMEOUT_MILLIS = 5000;
/** Time between two looks for connections past the request timeout, in milliseconds. */
export const CONNECTION_CHECK_MILLIS = 1000;
/** Time in which a caller must have sent the headers and the body of a request, in milliseconds. */
export const REQUEST_TIMEOUT_MILLIS = 10_000;
