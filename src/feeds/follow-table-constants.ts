/** Backoff after the first failed call, in milliseconds; a few round trips to the store. */
export const FIRST_RETRY_MILLIS = 50;
/** Maximum backoff between two failed calls, in milliseconds; keeps recovery well below 2 s, the shortest bound for changes to take effect. */
export const MAX_RETRY_MILLIS = 400;
