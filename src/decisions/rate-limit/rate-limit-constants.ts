/**
 * Time in which each entry that uses a limited backend server may send it about one request, in milliseconds. There are only as many such
 * entries as the limit allows, since a share of less than one request would have to be saved up, by all of them at the same time.
 */
export const SHARE_INTERVAL_MILLIS = 1500;
/** Entries that use a limited backend server at least, so that it stays in use when one of them fails. */
export const MIN_HOLDERS = 2;
/** Rate up to which a backend server that states less is used, in requests a second; only an answer tells that a limit has ended. */
export const MIN_REQUESTS_PER_SECOND = 0.25;
/**
 * Most that entries together send to a cold engine while they are split, as a multiple of the rate: the larger part divides all of it
 * among its members, and those out of reach keep their shares, which are all of it at most.
 */
export const MAX_RATE_OF_SPLIT_ENTRIES = 2;
/** Part of the requests allowed to a cold engine in one second that may be sent at once; the rest arrives evenly. */
export const COLD_BURST_SHARE = 0.5;
/** Time in which requests are sent that may arrive at an engine within one second, in milliseconds; delays on the way vary by less than the excess. */
export const COLD_WINDOW_MILLIS = 1200;
