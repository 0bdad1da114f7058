/** Time between two heartbeats on a link, in milliseconds. */
export const HEARTBEAT_INTERVAL_MILLIS = 500;
/** A link without a frame for this long is replaced, in milliseconds. */
export const LINK_IDLE_TIMEOUT_MILLIS = 2000;
/** Longest wait for the agent's hello on a new link, in milliseconds. */
export const HELLO_TIMEOUT_MILLIS = 2000;
/** Mean time between two looks at the instance list, in milliseconds. */
export const INSTANCE_LIST_POLL_INTERVAL_MILLIS = 1000;
/** Shortest wait before a failed link is dialled again, in milliseconds. */
export const RECONNECT_BACKOFF_MIN_MILLIS = 100;
/** Longest wait before a failed link is dialled again, in milliseconds. */
export const RECONNECT_BACKOFF_MAX_MILLIS = 2000;
/** Largest frame that a link takes, in bytes. */
export const MAX_FRAME_BYTES = 16_777_216;
