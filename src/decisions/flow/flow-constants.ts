/** Time over which pauses are collected between two changes of a limit, in milliseconds; a few steps of a loaded group. */
export const LIMIT_UPDATE_INTERVAL_MILLIS = 400;
/** Minimum number of pauses on which a change of a limit is based. */
export const MIN_PAUSE_SAMPLES = 8;
/** Quantile of the pauses that is compared with the target; high, since one late pause makes a whole stream late. */
export const PAUSE_QUANTILE = 0.92;
/** Ratio of a pause to its latency target that the limit aims for; below 1 to leave room for the variation between steps. */
export const TARGET_PAUSE_RATIO = 0.88;
/** Part of the step time that does not grow with the requests in the step: weights are read once for all of them. */
export const FIXED_STEP_TIME_SHARE = 0.3;
/** Fraction of the way to a larger predicted limit made by one change; small, since requests admitted now slow the group for seconds. */
export const LIMIT_INCREASE_GAIN = 0.12;
/** Fraction of the way to a smaller predicted limit made by one change. */
export const LIMIT_DECREASE_GAIN = 0.35;
/** Share of the batch slots of a service that may be used initially. */
export const INITIAL_BATCH_SHARE = 0.6;
/** Share of the batch slots below which a limit never falls; with too few requests there would be no pauses to measure. */
export const MIN_BATCH_SHARE = 0.3;
/** Requests for each slot of a plain service, its queue included; the service sheds load beyond its own queue. */
export const PLAIN_REQUESTS_PER_SLOT = 2;
/** Factor to the pause before it from which a late pause is taken for an interruption of the group instead of load; a prompt in the same step adds less. */
export const INTERRUPTION_FACTOR = 2;
/** Weight of the latest request in the moving average of the time that a permit is held. */
export const HOLD_TIME_WEIGHT = 0.05;
/** Longest wait for a pause or limit that backend servers state, as a share of the latency target; a request that would wait longer is refused at once. */
export const MAX_WAIT_SHARE = 0.3;
/** Share of the permits that late requests leave to those which can still be on time: room for a shift of expert popularity, which at a full limit makes all streams late. */
export const LATE_RESERVED_SHARE = 0.3;
/** Largest number of requests of a service queued at one process. */
export const MAX_QUEUED_REQUESTS = 512;
/** Shortest time after which a refused caller is told to retry, in milliseconds. */
export const MIN_RETRY_AFTER_MILLIS = 300;
/** Longest time after which a refused caller is told to retry, in milliseconds; a third of a usual deadline. */
export const MAX_RETRY_AFTER_MILLIS = 2500;
/** Time constant with which the arrival rate of a priority decays, in milliseconds; shorter than the peaks of 3 s that it must follow. */
export const ARRIVAL_RATE_TIME_CONSTANT_MILLIS = 1500;
/** Largest share of the permits of a service, beyond the first, that is reserved; a larger reserve costs the least urgent requests more than the others gain in a peak. */
export const MAX_RESERVED_SHARE = 0.25;
/** Time without a permit after which the next request of a priority goes ahead of all others, in milliseconds; about the time that a permit is held. */
export const STARVATION_BOUND_MILLIS = 1500;
/** Interval between looks at a queue that waits behind a reserve, in milliseconds; a reserve also shrinks while no permit is released. */
export const RESERVE_CHECK_INTERVAL_MILLIS = 50;
/** Free permits that an entry keeps for its own next request, besides its reserve, when it lends others. */
export const MIN_KEPT_PERMITS = 1;
/** Largest share of its permits that an entry lends, as its own demand may rise within the time of a loan. */
export const MAX_LENT_SHARE = 0.3;
/** Half-life of the failure score of a backend server, in milliseconds. */
export const FAILURE_HALF_LIFE_MILLIS = 1500;
/** Decayed failure score from which a backend server is ejected. */
export const EJECTION_FAILURES = 2.5;
/** Largest share of a service's backend servers that may be ejected at the same time, so that the others are not overloaded. */
export const MAX_EJECTED_SHARE = 0.4;
/** Time constant with which the weight of a load report decays, in milliseconds. */
export const REPORT_TIME_CONSTANT_MILLIS = 800;
/** Weight of the latest response time in the moving average of a backend server. */
export const LATENCY_WEIGHT = 0.15;
/** Factor on the cost of a backend server that is still warming up after its start. */
export const WARM_UP_COST_FACTOR = 2;
/** Time within which another backend server must have made progress for a stall to be attributed to a single one, in milliseconds. */
export const RECENT_PROGRESS_MILLIS = 400;
/** Time without a first event after which a stream is requested from another backend server, in milliseconds; callers give up after 2 s. */
export const FIRST_EVENT_TIMEOUT_MILLIS = 1000;
/** Pause between events after which a stream continues on another backend server, as a multiple of the longest pause that is on time. */
export const PAUSE_TIMEOUT_FACTOR = 6;
/** Time without a response from a plain backend server after which retryable work is sent to another one, as a multiple of the latency target. */
export const PLAIN_TIMEOUT_FACTOR = 2;
/** Shortest time after which callers are told to retry during an outage of the service, in milliseconds; the time of a restart and of forming a group. */
export const MIN_OUTAGE_RETRY_AFTER_MILLIS = 1500;
/** Longest time after which callers are told to retry during an outage, in milliseconds; a usual deadline of streams leaves twice that. */
export const MAX_OUTAGE_RETRY_AFTER_MILLIS = 3500;
/** Largest share of its deadline after which a caller is told to retry; it needs the rest for its second attempt. */
export const MAX_RETRY_AFTER_DEADLINE_SHARE = 0.45;
/** Time for which a refusal on behalf of a group keeps requests away from the group, in milliseconds; then the group is tried again. */
export const GROUP_REFUSAL_TTL_MILLIS = 700;
/** Number of recent prompts whose sizes are compared; half a minute of requests at one entry. */
export const MAX_PROMPT_SIZE_SAMPLES = 128;
/** Least number of prompts from which their sizes are compared. */
export const MIN_PROMPT_SIZE_SAMPLES = 16;
/** Quantile from the bottom and from the top whose prompts are compared, so that single exceptions do not decide. */
export const PROMPT_SIZE_QUANTILE = 0.05;
/** Ratio between large and small recent prompts above which prompts are treated by size. */
export const MIN_MIXED_SIZE_RATIO = 2;
/** Time for which a refusal on behalf of the only group keeps requests away from it, in milliseconds; then one request tries it. */
export const GROUP_PROBE_INTERVAL_MILLIS = 300;
/** Longest time for which a request waits for its service to return, in milliseconds; callers give up after 2 s without an event. */
export const MAX_RETURN_WAIT_MILLIS = 1400;
/** The same as a share of its deadline; the rest is for serving it. */
export const MAX_RETURN_WAIT_DEADLINE_SHARE = 0.4;
/** Length of an outage from which requests are refused at once, in milliseconds; a restart of all instances takes less. */
export const MAX_OUTAGE_WAITED_FOR_MILLIS = 5000;
