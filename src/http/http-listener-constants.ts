/** Longest time that a closing listener waits for responses in flight, in milliseconds. */
export const CLOSE_TIMEOUT_MILLIS = 5000;
/** Interval between checks for connections past the request timeout, in milliseconds. */
export const CONNECTION_CHECK_MILLIS = 1000;
/** Time limit for receiving the headers and the body of a request, in milliseconds. */
export const REQUEST_TIMEOUT_MILLIS = 10_000;
/** Interval between checks whether responses are still in flight, in milliseconds. */
export const CLOSE_POLL_INTERVAL_MILLIS = 20;
/** Longest time for which a connection stays open after its last response until the peer closes it, in milliseconds. */
export const PEER_CLOSE_TIMEOUT_MILLIS = 1000;
/** The same at the shutdown, which has little time, in milliseconds. */
export const PEER_SHUTDOWN_TIMEOUT_MILLIS = 200;
/** Number of connections above which new ones end that wait. */
export const MAX_UNCROWDED_CONNECTIONS = 200;
