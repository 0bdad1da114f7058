/** Time past the deadline in which an agent may still prove that an attempt was not started, in milliseconds. */
export const TOMBSTONE_GRACE_MILLIS = 300;
/** Longest wait for an answer to a question about an attempt, in milliseconds. */
export const QUERY_TIMEOUT_MILLIS = 1000;
/** Longest wait for a link to an agent that must be asked, in milliseconds. */
export const CONNECT_TIMEOUT_MILLIS = 2500;
/** `Retry-After` when no backend server is linked, in milliseconds. */
export const NO_BACKEND_SERVER_RETRY_MILLIS = 1000;
/** Most times that one request waits for a newer configuration. */
export const MAX_CONFIGURATION_WAITS = 3;
/** Longest wait for a newer configuration, in milliseconds. */
export const CONFIGURATION_WAIT_MILLIS = 1000;
/** Time between two looks at a call that another request started, in milliseconds. */
export const CLAIM_POLL_MILLIS = 50;
/** Looks at a claim whose attempt has not started before it is taken over. */
export const MAX_UNSTARTED_CLAIM_POLLS = 5;
/** Longest wait of a request that has begun for a link to any agent, in milliseconds. */
export const LINK_WAIT_MILLIS = 10_000;
/** Time between two looks for such a link, in milliseconds. */
export const LINK_POLL_MILLIS = 25;
/** Priority of every admitted request at its engine: admission decides by class, and strict priorities beyond it would starve the lower ones. */
export const ADMITTED_PRIORITY = 0;
