/** Versions that belong to one proposal: its own, and behind it the one that fences it off. */
export const VERSIONS_PER_PROPOSAL = 2;
/** Passes between the last one begun and the one that a switch names; two round trips to all ranks fit in one pass. */
export const LEAD_STEPS = 2;
/** Passes beyond the lead that are added after each hold that came too late. */
export const EXTRA_LEAD_STEPS_PER_MISS = 2;
/** Holds that are tried for one switch. */
export const MAX_HOLD_ATTEMPTS = 3;
/** Time between two looks at the ranks while an order takes effect, in milliseconds. */
export const ORDER_POLL_INTERVAL_MILLIS = 25;
/** Time for copying beyond the worked-out one, in milliseconds. */
export const PREPARE_SLACK_MILLIS = 1200;
/** Time for all ranks to be armed, in milliseconds: a few orders without an answer. The group may be standing still meanwhile. */
export const ARM_TIMEOUT_MILLIS = 500;
/** Time for a release to show, in milliseconds: a few orders without an answer. */
export const RELEASE_TIMEOUT_MILLIS = 500;
/** Time for a hold to show, in milliseconds. */
export const HOLD_TIMEOUT_MILLIS = 300;
/** Time between two attempts to end a switch that was left behind, in milliseconds. */
export const RECOVERY_POLL_INTERVAL_MILLIS = 40;
/** Time between two looks at a group, in milliseconds; a few passes. */
export const OBSERVE_INTERVAL_MILLIS = 250;
/** Numbers that all ranks may report in a second; at two to three bytes each a third of the smallest link beside an engine. */
export const MAX_COUNTS_PER_SECOND = 100_000;
/** Pause after a look that failed or that found the group idle, in milliseconds. */
export const FAILURE_PAUSE_MILLIS = 500;
/** Pause before the next look while a released switch waits for its pass, in milliseconds; half a pass of a loaded group. */
export const PENDING_SWITCH_POLL_INTERVAL_MILLIS = 50;
