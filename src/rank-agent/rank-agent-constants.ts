/** Longest wait for an answer of another rank's agent, in milliseconds; the engine's own time included. */
export const RANK_CALL_TIMEOUT_MILLIS = 800;
/** Longest wait for the answer to an order, in milliseconds; its agent gives up on the engine before. */
export const RANK_ORDER_TIMEOUT_MILLIS = 250;
/** Longest wait for a change of the backend servers' entries in one call, in milliseconds. */
export const RANK_LIST_WAIT_MILLIS = 5000;
/** Experts that a rank copies for one switch at most, over all layers; more delay the gain by their copy times. */
export const MAX_COPIES_PER_RANK = 1;
