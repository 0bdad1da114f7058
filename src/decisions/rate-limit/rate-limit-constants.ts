/**
 * Time in which each entry that uses a limited backend server may send it about one request, in milliseconds. There are only as many such
 * entries as the limit allows, since a share of less than one request would have to be saved up, by all of them at the same time.
 */
export const SHARE_INTERVAL_MILLIS = 1500;
/** Entries that use a limited backend server at least, so that it stays in use when one of them fails. */
export const MIN_HOLDERS = 2;
/** Rate up to which a backend server that states less is used, in requests a second; only an answer tells that a limit has ended. */
export const MIN_REQUESTS_PER_SECOND = 0.25;
