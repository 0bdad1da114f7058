/** Time in which entries that lapsed during an outage of the store are written again, in milliseconds; two heartbeats. */
export const EXPIRED_ENTRY_GRACE_MILLIS = 2500;
/** Longest wait for a new connection to a backend server, in milliseconds; over three lost opening packets of a LAN. */
export const CONNECT_TIMEOUT_MILLIS = 800;
/** Idle time after which a connection is not used again for work that must not be repeated, in milliseconds. */
export const AT_MOST_ONCE_MAX_IDLE_MILLIS = 300;
/** Idle time after which a connection without a stated timeout is closed, in milliseconds. */
export const IDLE_TIMEOUT_MILLIS = 4000;
/** Part of a stated idle timeout at its end in which a connection is not used, in milliseconds; more than a round trip. */
export const IDLE_MARGIN_MILLIS = 600;
/** Largest answer that is held until it is complete, in bytes; larger ones are passed on as they come. */
export const MAX_BUFFERED_ANSWER_BYTES = 262_144;
/** Bytes of request bodies and held answers that a process keeps at most; a tenth of the smallest instance's memory. */
export const MAX_BUFFERED_BYTES = 25_000_000;
/** Least time that is worth sending to a backend server, in milliseconds; two crossings of the network and a short answer. */
export const MIN_ATTEMPT_MILLIS = 15;
/** Time kept back from a deadline for the way to the caller, in milliseconds. */
export const DEADLINE_MARGIN_MILLIS = 8;
/** Wait that a refused caller is told when nothing is known of the backlog, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MILLIS = 500;
/** Age of the last answer of the store from which on an unknown route or credential is not refused for good, in milliseconds. */
export const STALE_CONFIGURATION_MILLIS = 4000;
/** Longest wait for a heartbeat in one call, in milliseconds; a silent store shows soon after it, within the bound for changes. */
export const MEMBER_LONG_POLL_MILLIS = 2000;
/** Longest wait for other changes in one call, in milliseconds; the heartbeats show a silent store, and a store call is paid for. */
export const FEED_LONG_POLL_MILLIS = 5000;
/** Least time between two reads of the backend servers' entries, in milliseconds; a fifth of the time that a leaving one still serves. */
export const SERVER_LIST_MIN_INTERVAL_MILLIS = 400;
/** Time between two heartbeats of an entry, over the time that its death may stay unknown; a store call is paid for. */
export const HEARTBEAT_INTERVAL_SHARE = 0.25;
/** Age of a heartbeat from which on an entry is taken for dead, over the same time; two missed heartbeats and a slow store. */
export const MEMBER_TIMEOUT_SHARE = 0.7;
/** Age of a heartbeat from which on nothing is shared with its entry any more, in milliseconds; longer than a restart of all. */
export const SHARING_TIMEOUT_MILLIS = 10_000;
/** Least time between two reads of the entries' heartbeats, over the same time; with the timeout it leaves a tenth for the answer. */
export const MEMBER_LIST_MIN_INTERVAL_SHARE = 0.2;
/** Time that callers may keep an address answer, in milliseconds; three of them pass while a stopping gateway listens. */
export const ADDRESS_LIFETIME_MILLIS = 2000;
/** Most addresses in one answer; the platform's callers use no more. */
export const MAX_ADDRESSES = 64;
/** Largest head of a caller's request, in bytes; twice the largest limit that operators set. */
export const MAX_CALLER_HEADER_BYTES = 32_768;
/** Time between two looks for connections whose head is overdue, in milliseconds. */
export const CONNECTION_CHECK_INTERVAL_MILLIS = 1000;
/** Time that an idle connection is kept beyond its limit, in milliseconds; callers use it up to the limit. */
export const KEEP_ALIVE_SLACK_MILLIS = 1000;
/** Part of the grace in which a stopping gateway still takes streams; the rest is longer than nearly all of them. */
export const GRACE_SHARE_STREAMS = 0.36;
/** Part of the grace in which it still takes connections; callers keep an address for up to three lifetimes. */
export const GRACE_SHARE_LISTENING = 0.75;
/** Part of the grace after which calls under way are broken off, so that the process ends in time. */
export const GRACE_SHARE_CALLS = 0.94;
/** Time between two looks whether calls are still under way, in milliseconds. */
export const DRAIN_POLL_INTERVAL_MILLIS = 50;
/** Backend servers that a call tries to reach at most; what was not sent is no attempt. */
export const MAX_TRIED_SERVERS = 4;
/** Wait that the caller of a stream is told by a gateway that stops, in milliseconds; others take it at once. */
export const STOPPING_RETRY_AFTER_MILLIS = 50;
