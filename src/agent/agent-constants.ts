/** Time between two heartbeats of the agent on a link, in milliseconds. */
export const HEARTBEAT_INTERVAL_MILLIS = 1000;

/** An entry from which nothing came for this time is taken for gone, in milliseconds. */
export const LINK_IDLE_TIMEOUT_MILLIS = 4 * HEARTBEAT_INTERVAL_MILLIS;

/** Time between two looks at the backend server's load, in milliseconds. */
export const LOAD_POLL_INTERVAL_MILLIS = 500;

/** Time between two looks at the instance list, in milliseconds. */
export const INSTANCE_LIST_POLL_INTERVAL_MILLIS = 1000;

/** Cache events kept for links that have not sent them yet. */
export const MAX_CACHE_EVENTS = 4096;

/** Attempts that an agent takes at once, for each request that its backend server works on at once. */
export const MAX_ATTEMPTS_PER_CAPACITY_UNIT = 2;

/** Wait that an overloaded agent names to an entry, in milliseconds. */
export const OVERLOAD_RETRY_AFTER_MILLIS = 250;

/** Largest payload of a data frame that carries a plain service's answer, in bytes. */
export const MAX_DATA_PAYLOAD_BYTES = 65_536;

/** Largest frame on a link, in bytes. */
export const MAX_FRAME_BYTES = 16 * 1024 * 1024;

/** Time that a closing listener waits for open calls, in milliseconds. */
export const LISTENER_CLOSE_TIMEOUT_MILLIS = 1000;

/** Status that ends the whole answer of a model. */
export const OK_STATUS = 200;
