/** Versions per proposal: its own, followed by the one that fences it off. */
export const VERSIONS_PER_PROPOSAL = 2;
/** Passes from the last one begun to the one at which a switch takes effect; two round trips to all ranks fit in one pass. */
export const LEAD_STEPS = 2;
/** Passes added to the lead after each hold that came too late. */
export const EXTRA_LEAD_STEPS_PER_MISS = 2;
/** Maximum number of hold attempts for one switch. */
export const MAX_HOLD_ATTEMPTS = 3;
/** Interval between reads of a rank while an order takes effect, in milliseconds. */
export const ORDER_POLL_INTERVAL_MILLIS = 25;
/** Time allowed for copying beyond the calculated copy time, in milliseconds. */
export const PREPARE_SLACK_MILLIS = 1200;
/** Timeout for arming all ranks, in milliseconds; allows for a few unanswered orders. The group may be blocked meanwhile. */
export const ARM_TIMEOUT_MILLIS = 500;
/** Timeout for a release to take effect, in milliseconds; allows for a few unanswered orders. */
export const RELEASE_TIMEOUT_MILLIS = 500;
/** Timeout for a hold to take effect, in milliseconds. */
export const HOLD_TIMEOUT_MILLIS = 300;
/** Interval between recovery steps of an unfinished switch, in milliseconds. */
export const RECOVERY_POLL_INTERVAL_MILLIS = 40;
/** Interval between load readings of a group, in milliseconds; a few passes. */
export const OBSERVE_INTERVAL_MILLIS = 250;
/** Maximum counts that all ranks report per second; at two to three bytes each, a third of the slowest link beside an engine. */
export const MAX_COUNTS_PER_SECOND = 100_000;
/** Interval between readings of the sampled ranks of a large group, in milliseconds; one or two passes of a loaded group. */
export const SAMPLE_INTERVAL_MILLIS = 100;
/** Interval between readings of the states of all ranks of a large group, in milliseconds; each takes a call to every agent. */
export const STATE_INTERVAL_MILLIS = 500;
/** Pause after a failed reading or one that found the group idle, in milliseconds. */
export const FAILURE_PAUSE_MILLIS = 500;
/** Interval between readings while a released switch waits for its pass, in milliseconds; half a pass of a loaded group. */
export const PENDING_SWITCH_POLL_INTERVAL_MILLIS = 50;
