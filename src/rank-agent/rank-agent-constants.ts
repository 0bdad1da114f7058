/** Timeout for a call to another rank's agent, in milliseconds; includes the time its engine takes. */
export const RANK_CALL_TIMEOUT_MILLIS = 600;
/** Timeout for an order to another rank's agent, in milliseconds; the agent's own call to its engine times out earlier. */
export const RANK_ORDER_TIMEOUT_MILLIS = 700;
/** Time for which an agent waits until its engine has copied the experts of a map, in milliseconds; the planner sends the order again before. */
export const PREPARE_WAIT_MILLIS = 500;
/** Time after which an agent sends an order to prepare to its engine again, in milliseconds; it is answered within a few beside it. */
export const PREPARE_ANSWER_TIMEOUT_MILLIS = 40;
/** Interval between reads of the engine meanwhile, in milliseconds; they cost nothing beside it. */
export const PREPARE_POLL_INTERVAL_MILLIS = 5;
/** Timeout for an order with a whole map, in milliseconds; in a group of 64 ranks the planner's link is busy with them for a second. */
export const WHOLE_MAP_TIMEOUT_MILLIS = 1500;
/** Longest wait for a change of a followed table in one store call, in milliseconds. */
export const RANK_FEED_LONG_POLL_MILLIS = 5000;
/** Maximum copy time of a rank per switch, in milliseconds; copying delays the gain, and popularity shifts within seconds. */
export const MAX_COPY_MILLIS = 160;
/** Interval between checks of the engine for a stalled switch, in milliseconds; reading the local engine costs nothing. */
export const WATCH_INTERVAL_MILLIS = 100;
/** Time without a pass after which a switch is considered stalled, in milliseconds; several passes of a loaded group. */
export const STALLED_SWITCH_MILLIS = 600;
/** The same while the rank holds the next pass back and is not released, in milliseconds; longer than arming all ranks usually takes. */
export const HELD_SWITCH_MILLIS = 350;
/** Time without an answer after which a planner is taken to have stopped, in milliseconds; longer than the calls of a round keep it busy. */
export const PLANNER_ANSWER_TIMEOUT_MILLIS = 350;
/** Time for which a planner that runs is left to finish a switch that holds the group, in milliseconds; longer than it tries itself. */
export const MAX_PLANNER_SWITCH_MILLIS = 4000;
