/** Backoff after the first failed call, in milliseconds; a few round trips to the store. */
export const FIRST_RETRY_MILLIS = 50;
/** Maximum backoff between two failed calls of a process that is alone, in milliseconds. */
export const MIN_RETRY_CAP_MILLIS = 400;
/** Maximum backoff between two failed calls at any number of processes, in milliseconds; below 2 s, the shortest bound for changes to take effect. */
export const MAX_RETRY_MILLIS = 1500;
/** Longest time from a timeout to an answer on another connection that shows that the store was reachable all the while, in milliseconds. */
export const MAX_SILENCE_PROOF_MILLIS = 1000;
