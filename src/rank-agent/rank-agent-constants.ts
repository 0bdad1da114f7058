/** Longest wait for an answer of another rank's agent, in milliseconds; the engine's own time included. */
export const RANK_CALL_TIMEOUT_MILLIS = 600;
/** Longest wait for the answer to an order, in milliseconds; its agent gives up on the engine before. */
export const RANK_ORDER_TIMEOUT_MILLIS = 250;
/** Longest wait for a change of the backend servers' entries in one call, in milliseconds. */
export const RANK_FEED_LONG_POLL_MILLIS = 5000;
/** Time that a rank copies for one switch at most, in milliseconds; the gain is delayed by it, and popularity jumps within seconds. */
export const MAX_COPY_MILLIS = 160;
/** Time between two looks at the engine for a switch left behind, in milliseconds; the look is free beside the engine. */
export const WATCH_INTERVAL_MILLIS = 150;
/** Time without a pass after which a switch is taken for left behind, in milliseconds; several passes of a loaded group. */
export const STALLED_SWITCH_MILLIS = 600;
