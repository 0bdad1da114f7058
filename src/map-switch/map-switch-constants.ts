/** Versions per proposal: its own, followed by the one that fences it off. */
export const VERSIONS_PER_PROPOSAL = 2;
/** Proposals whose versions one write of the row in the store allocates; popularity shifts every few seconds, so a block lasts for half a minute. */
export const PROPOSALS_PER_BLOCK = 16;
/** Proposals left in a block below which the next one is allocated; enough for an outage of the store of a few shifts. */
export const MIN_SPARE_PROPOSALS = 10;
/** Divisor of the remainders by which the passes of successive proposers differ. */
export const STEP_REMAINDERS = 2;
/** Least passes from the last one begun to the one at which a switch takes effect. */
export const MIN_LEAD_STEPS = 2;
/** Most passes of that lead; a later switch gains less before popularity shifts again. */
export const MAX_LEAD_STEPS = 12;
/** Passes added to the lead after each hold that came too late. */
export const EXTRA_LEAD_STEPS_PER_MISS = 2;
/** Maximum number of hold attempts for one switch. */
export const MAX_HOLD_ATTEMPTS = 3;
/** Weight of the latest switch or order in moving averages. */
export const TIMING_WEIGHT = 0.25;
/** Deviations above the mean for which time is allowed. */
export const TIMING_DEVIATIONS = 2;
/** Deviations above the mean after which missing answers count as lost; as for retransmissions in TCP. */
export const ANSWER_TIMEOUT_DEVIATIONS = 4;
/** Least and most time without any answer until unanswered orders are sent again, in milliseconds. */
export const MIN_ANSWER_TIMEOUT_MILLIS = 12;
export const MAX_ANSWER_TIMEOUT_MILLIS = 100;
/** Interval between reads of a rank while an order takes effect, in milliseconds. */
export const ORDER_POLL_INTERVAL_MILLIS = 25;
/** The same for orders that take effect at once, while the group may be held. */
export const ARM_POLL_INTERVAL_MILLIS = 5;
/** Time allowed for copying beyond the calculated copy time, in milliseconds. */
export const PREPARE_SLACK_MILLIS = 1200;
/** Timeout for arming all ranks, in milliseconds. The group may be held meanwhile, but taking the switch back needs more rounds of orders than finishing it. */
export const ARM_TIMEOUT_MILLIS = 3000;
/** Timeout for a release to take effect, in milliseconds. */
export const RELEASE_TIMEOUT_MILLIS = 3000;
/** Timeout for a hold to take effect, in milliseconds. */
export const HOLD_TIMEOUT_MILLIS = 1000;
/** Interval between recovery steps of an unfinished switch, in milliseconds. */
export const RECOVERY_POLL_INTERVAL_MILLIS = 20;
/** Timeout for a round of orders of a recovery, in milliseconds; the state is read again after it. */
export const RECOVERY_ORDER_TIMEOUT_MILLIS = 600;
/** Time without an answer of any rank after which those that have not answered count as unreachable in a recovery, in milliseconds; the group may be held meanwhile. */
export const RECOVERY_READ_TIMEOUT_MILLIS = 150;
/** Interval between load readings of a group, in milliseconds; a few passes. */
export const OBSERVE_INTERVAL_MILLIS = 250;
/** The same until the first switch of a group, whose first map knows nothing of its load. */
export const FIRST_OBSERVE_INTERVAL_MILLIS = 100;
/** Maximum counts that all ranks report per second; at two to three bytes each, a third of the slowest link beside an engine. */
export const MAX_COUNTS_PER_SECOND = 100_000;
/** Interval between readings of the sampled ranks of a large group, in milliseconds; one or two passes of a loaded group. */
export const SAMPLE_INTERVAL_MILLIS = 100;
/** Interval between looks whether a new sample has been taken, in milliseconds. */
export const SAMPLE_POLL_INTERVAL_MILLIS = 20;
/** Longest time by which the reading of the states of all ranks is put off in favour of a switch, in milliseconds. */
export const MAX_STATE_DELAY_MILLIS = 1000;
/** Interval between readings of the states of all ranks of a large group, in milliseconds; each takes a call to every agent. */
export const STATE_INTERVAL_MILLIS = 500;
/** Interval between looks whether a group has opened and its ranks are known, in milliseconds; one pass of a loaded group. */
export const START_PAUSE_MILLIS = 50;
/** Pause after a failed reading or one that found the group idle, in milliseconds. */
export const FAILURE_PAUSE_MILLIS = 200;
/** Interval between readings while a released switch waits for its pass, in milliseconds; half a pass of a loaded group. */
export const PENDING_SWITCH_POLL_INTERVAL_MILLIS = 50;
/** Interval at which a round of orders looks whether answers are missing, in milliseconds. */
export const QUIET_TICK_MILLIS = 5;
/** Most orders of a round that are awaited at the same time; several times what a proposer sends in a round trip. */
export const MAX_AWAITED_ORDERS = 16;
