/** Pause after a first failed call, in milliseconds; a few round trips of the store. */
export const FIRST_RETRY_MILLIS = 50;
/** Longest pause between two failed calls, in milliseconds; keeps recovery well under the shortest bound for changes, 2 s. */
export const MAX_RETRY_MILLIS = 400;
