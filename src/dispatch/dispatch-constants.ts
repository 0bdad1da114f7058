/** Time after the deadline in which an agent may still prove that an attempt was not started, in milliseconds. */
export const TOMBSTONE_GRACE_MILLIS = 300;
/** Timeout of a query about an attempt or a key, in milliseconds. */
export const QUERY_TIMEOUT_MILLIS = 1000;
/** Timeout for connecting to one particular agent, in milliseconds. */
export const CONNECT_TIMEOUT_MILLIS = 2500;
/** `Retry-After` when no backend server is linked, in milliseconds. */
export const NO_BACKEND_SERVER_RETRY_MILLIS = 1000;
/** How often one request may wait for a newer configuration. */
export const MAX_CONFIGURATION_WAITS = 3;
/** Timeout of one wait for a newer configuration, in milliseconds. */
export const CONFIGURATION_WAIT_MILLIS = 1000;
/** Interval between polls of a call that another request started, in milliseconds. */
export const CLAIM_POLL_MILLIS = 50;
/** How often a claim whose attempt has not started is polled before it is taken over. */
export const MAX_UNSTARTED_CLAIM_POLLS = 5;
/** How long a request that may already have run waits for a link to any agent, in milliseconds. */
export const LINK_WAIT_MILLIS = 10_000;
/** Interval between checks for such a link, in milliseconds. */
export const LINK_POLL_MILLIS = 25;
/** Priority of every admitted request at its engine: admission decides by class, and strict priorities after it would starve the lower classes. */
export const ADMITTED_PRIORITY = 0;
