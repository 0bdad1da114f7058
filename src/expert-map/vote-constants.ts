/** A rank that has not voted yes this many steps before the first step of a new map votes no. */
export const VOTE_CUTOFF_STEPS = 4;

/** Interval between polls of the engine's step while a vote is prepared, in milliseconds. */
export const STEP_POLL_MILLIS = 50;

/** Delay before an order without a definite reply is sent again, in milliseconds. */
export const ORDER_RETRY_MILLIS = 50;

/** Interval between exchanges with a peer while nothing changes, in milliseconds. */
export const EXCHANGE_INTERVAL_MILLIS = 100;

/** Interval between checks for a restart of the group while an outcome is not known, in milliseconds. */
export const GROUP_POLL_MILLIS = 500;

/** Timeout of one call to a peer, in milliseconds. */
export const PEER_TIMEOUT_MILLIS = 1000;

/** Number of votes that are kept, so that peers can still ask for settled ones. */
export const MAX_KEPT_VOTES = 32;
