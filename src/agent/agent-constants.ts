/** Time between two heartbeats of the agent on a link, in milliseconds. */
export const HEARTBEAT_INTERVAL_MILLIS = 1000;

/** Time without a frame after which the link to an entry is closed, in milliseconds. */
export const LINK_IDLE_TIMEOUT_MILLIS = 4 * HEARTBEAT_INTERVAL_MILLIS;

/** Time between two polls of the backend server's load, in milliseconds. */
export const LOAD_POLL_INTERVAL_MILLIS = 500;

/** Time between two reads of the instance list, in milliseconds. */
export const INSTANCE_LIST_POLL_INTERVAL_MILLIS = 1000;

/** Largest number of cache events kept for links that have not sent them yet. */
export const MAX_CACHE_EVENTS = 4096;

/** Largest number of attempts in flight at an agent, per request that its backend server serves concurrently. */
export const MAX_ATTEMPTS_PER_CAPACITY_UNIT = 2;

/** Retry-after time in the refusals of an overloaded agent, in milliseconds. */
export const OVERLOAD_RETRY_AFTER_MILLIS = 250;

/** Largest payload of a data frame that carries a plain service's answer, in bytes. */
export const MAX_DATA_PAYLOAD_BYTES = 65_536;

/** Largest frame on a link, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Time for which a closing listener waits for open calls, in milliseconds. */
export const LISTENER_CLOSE_TIMEOUT_MILLIS = 1000;

/** Status of a model's complete answer. */
export const OK_STATUS = 200;
