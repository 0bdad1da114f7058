/** Time over which pauses are collected between two changes of a limit, in milliseconds; a few passes of a loaded group. */
export const LIMIT_UPDATE_INTERVAL_MILLIS = 400;
/** Pauses that a change of a limit rests on at least. */
export const MIN_PAUSE_SAMPLES = 8;
/** Quantile of the pauses that is compared with the target; one late pause makes a whole stream late. */
export const PAUSE_QUANTILE = 0.92;
/** Pause over its target that is aimed at; leaves room for the variation between passes. */
export const TARGET_PAUSE_RATIO = 0.88;
/** Part of a pass that does not grow with the requests in it: weights are read once for all of them. */
export const FIXED_STEP_TIME_SHARE = 0.3;
/** Part of the way to a larger predicted limit that one change makes; requests admitted now slow the group for seconds. */
export const LIMIT_INCREASE_GAIN = 0.12;
/** Part of the way to a smaller predicted limit that one change makes. */
export const LIMIT_DECREASE_GAIN = 0.35;
/** Part of the batch places of a service that may be used at first. */
export const INITIAL_BATCH_SHARE = 0.6;
/** Part of the batch places below which a limit never falls, so that it can see pauses at all. */
export const MIN_BATCH_SHARE = 0.3;
/** Requests that each slot of a plain service may hold, queue included; the service sheds beyond its own queue. */
export const PLAIN_REQUESTS_PER_SLOT = 2;
/** Weight of the latest request in the mean time that a request holds its place. */
export const HOLD_TIME_WEIGHT = 0.05;
/** Longest wait of a request over its latency target; whoever would wait longer is refused while the refusal is still early. */
export const MAX_WAIT_SHARE = 0.3;
/** Largest number of requests of a service that wait at one process. */
export const MAX_QUEUED_REQUESTS = 512;
/** Shortest time after which a refused caller is asked back, in milliseconds. */
export const MIN_RETRY_AFTER_MILLIS = 300;
/** Longest time after which a refused caller is asked back, in milliseconds; a third of a usual deadline. */
export const MAX_RETRY_AFTER_MILLIS = 2500;
/** Half-life of the failures that count against a backend server, in milliseconds. */
export const FAILURE_HALF_LIFE_MILLIS = 1500;
/** Failures, faded, from which on a backend server is used only when there is no other. */
export const EJECTION_FAILURES = 2.5;
/** Largest share of a service's backend servers that may be avoided at once; the others must not drown. */
export const MAX_EJECTED_SHARE = 0.4;
/** Time in which a load report loses most of its weight, in milliseconds. */
export const REPORT_TIME_CONSTANT_MILLIS = 800;
/** Weight of the latest response time in the mean of a backend server. */
export const LATENCY_WEIGHT = 0.15;
/** Factor on the cost of a backend server that is slow after its start. */
export const WARM_UP_COST_FACTOR = 2;
/** Time within which another backend server must have sent something for silence to be that of one alone, in milliseconds. */
export const RECENT_PROGRESS_MILLIS = 400;
/** Silence before the first event of a stream after which it is asked for elsewhere, in milliseconds; callers give up after 2 s. */
export const FIRST_EVENT_TIMEOUT_MILLIS = 1000;
/** Silence between events, over the longest pause that is on time, after which a stream goes on elsewhere. */
export const PAUSE_TIMEOUT_FACTOR = 6;
/** Silence of a plain backend server, over the latency target, after which work that may be repeated is asked for elsewhere. */
export const PLAIN_TIMEOUT_FACTOR = 2;
/** Least time after which callers are asked back to a service that serves nobody, in milliseconds; a restart and the forming of a group. */
export const MIN_OUTAGE_RETRY_AFTER_MILLIS = 1500;
/** Longest time after which they are, in milliseconds; twice that is left of a usual deadline of streams. */
export const MAX_OUTAGE_RETRY_AFTER_MILLIS = 3500;
/** Largest part of its deadline after which a caller is asked back; it needs the rest for its second attempt. */
export const MAX_RETRY_AFTER_DEADLINE_SHARE = 0.45;
/** Time for which a refusal on behalf of its group keeps requests away from the group, in milliseconds; then one may try again. */
export const GROUP_REFUSAL_TTL_MILLIS = 700;
