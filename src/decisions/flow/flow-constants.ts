/** Time over which pauses are collected between two changes of a limit, in milliseconds; a few passes of a loaded group. */
export const LIMIT_INTERVAL_MILLIS = 400;
/** Pauses that a change of a limit rests on at least. */
export const LEAST_PAUSES = 8;
/** Quantile of the pauses that is compared with the target. */
export const PAUSE_QUANTILE = 0.9;
/** Pause over its target from which on a limit goes down; leaves room for the variation between passes. */
export const HIGH_PAUSE_RATIO = 0.95;
/** Pause over its target below which a limit that was reached goes up. */
export const LOW_PAUSE_RATIO = 0.85;
/** Smallest factor of one decrease. */
export const MIN_DECREASE_FACTOR = 0.75;
/** Part of a limit that is added when there is room. */
export const INCREASE_SHARE = 0.06;
/** Part of the batch places of a service that may be used at first. */
export const INITIAL_BATCH_SHARE = 0.6;
/** Part of the batch places below which a limit never falls, so that it can see pauses at all. */
export const LEAST_BATCH_SHARE = 0.2;
/** Requests that each slot of a plain service may hold, queue included; the service sheds beyond its own queue. */
export const PLAIN_REQUESTS_PER_SLOT = 2;
/** Weight of the latest request in the mean time that a request holds its place. */
export const HOLD_WEIGHT = 0.05;
/** Part of a latency target that a request may wait for a place. */
export const WAIT_SHARE = 0.35;
/** Largest number of requests of a service that wait at one process. */
export const MAX_WAITING = 512;
/** Shortest time after which a refused caller is asked back, in milliseconds. */
export const MIN_RETURN_MILLIS = 300;
/** Longest time after which a refused caller is asked back, in milliseconds; a third of a usual deadline. */
export const MAX_RETURN_MILLIS = 2500;
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
export const COLD_FACTOR = 2;
