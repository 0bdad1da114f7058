/** Time between two heartbeats on a link, in milliseconds. */
export const HEARTBEAT_INTERVAL_MILLIS = 500;
/** Time without a frame after which a link is closed and replaced, in milliseconds. */
export const LINK_IDLE_TIMEOUT_MILLIS = 2000;
/** Longest wait for the agent's hello on a new link, in milliseconds. */
export const HELLO_TIMEOUT_MILLIS = 2000;
/** Mean time between two reads of the instance list, in milliseconds. */
export const INSTANCE_LIST_POLL_INTERVAL_MILLIS = 1000;
/** Smallest mean backoff before reconnecting a link, in milliseconds. */
export const RECONNECT_BACKOFF_MIN_MILLIS = 100;
/** Largest mean backoff before reconnecting a link, in milliseconds. */
export const RECONNECT_BACKOFF_MAX_MILLIS = 2000;
/** Largest frame that a link sends or receives, in bytes. */
export const MAX_FRAME_BYTES = 16_777_216;
