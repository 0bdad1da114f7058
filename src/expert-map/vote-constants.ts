/** A rank that has not voted this many steps before the first step of a new map votes no. */
export const VOTE_CUTOFF_STEPS = 4;

/** Time between two looks at the engine's step while a vote is prepared, in milliseconds. */
export const STEP_POLL_MILLIS = 50;

/** Time until an order without a definite reply is repeated, in milliseconds. */
export const ORDER_RETRY_MILLIS = 50;

/** Time between two exchanges with a peer when nothing has changed, in milliseconds. */
export const EXCHANGE_INTERVAL_MILLIS = 100;

/** Time between two looks for a restart of the group while an outcome is open, in milliseconds. */
export const GROUP_POLL_MILLIS = 500;

/** Longest time of one call to a peer, in milliseconds. */
export const PEER_TIMEOUT_MILLIS = 1000;

/** Settled votes that are remembered for peers that ask. */
export const MAX_KEPT_VOTES = 32;
