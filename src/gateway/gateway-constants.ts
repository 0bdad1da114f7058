/** Maximum number of leaving, and of removed, backend servers that are remembered; several times the largest fleet. */
export const MAX_REMEMBERED_SERVERS = 4096;
/** Time allowed for entries that expired during a store outage to be written again, in milliseconds; two heartbeats. */
export const EXPIRED_ENTRY_GRACE_MILLIS = 2500;
/** Share of the time for which a leaving backend server still serves that entries have to be written again; requests sent at its end still arrive in time. */
export const EXPIRED_ENTRY_GRACE_SHARE = 0.9;
/** Time after the end of an evacuation for which backend servers are selected as if they had just started, in milliseconds; the usual warm-up time of an engine. */
export const RETURN_WARM_UP_MILLIS = 3000;
/** Timeout for connecting to a backend server, in milliseconds; covers more than three lost SYN packets on a LAN. */
export const CONNECT_TIMEOUT_MILLIS = 800;
/** Timeout for the connection that shows whether a backend server that lost a request still runs, in milliseconds; a lost SYN packet is sent again after 1 s. */
export const LIVENESS_TIMEOUT_MILLIS = 400;
/** Time for which headers are still read after their exchange was aborted, in milliseconds; several round trips, and shorter than the time in which abandoned work must end. */
export const LATE_HEAD_TIMEOUT_MILLIS = 200;
/** Idle time after which a connection is not reused for requests that must not be retried, in milliseconds. */
export const AT_MOST_ONCE_MAX_IDLE_MILLIS = 300;
/** Idle time after which a connection is closed if the peer states no keep-alive timeout, in milliseconds. */
export const IDLE_TIMEOUT_MILLIS = 4000;
/** Margin before a stated keep-alive timeout in which a connection is not reused, in milliseconds; more than a round trip. */
export const IDLE_MARGIN_MILLIS = 600;
/** Largest answer that is buffered until it is complete, in bytes; larger ones are forwarded as they arrive. */
export const MAX_BUFFERED_ANSWER_BYTES = 262_144;
/** Largest error answer of unknown length and largest event of a stream, in bytes; what is longer counts as no answer. */
export const MAX_UNFINISHED_BYTES = 262_144;
/** Largest part of the body of a refusal that is read, in bytes; the headers have said all. */
export const MAX_REFUSAL_BYTES = 16_384;
/** Bytes that a backend server may send besides the body of its answer, as status line, headers and framing, and the same for each byte of the body. */
export const MAX_OVERHEAD_BYTES = 65_536;
export const MAX_OVERHEAD_PER_BODY_BYTE = 8;
/** Largest part of an answer that is parsed at once, in bytes. */
export const MAX_READ_BYTES = 2048;
/** Least part of an answer whose parsing is timed, in bytes. */
export const MIN_TIMED_READ_BYTES = 512;
/** Time for which one answer is parsed before the event loop turns, in milliseconds. */
export const MAX_PARSING_MILLIS = 2;
/** Maximum bytes of request bodies in a process, and of answers that wait to be read; a tenth of the smallest instance's memory. */
export const MAX_BUFFERED_BYTES = 25_000_000;
/** The same as a share of the memory of the process, where the settings state it. */
export const BUFFERED_MEMORY_SHARE = 0.1;
/** Largest write to a caller's connection, in bytes; a caller that reads 3.3 kB a second completes one within the longest stall. */
export const MAX_WRITE_BYTES = 32_768;
/** Time without progress after which an answer is given up, in milliseconds. */
export const MAX_READER_STALL_MILLIS = 10_000;
/** Interval between checks of the progress of slow callers, in milliseconds. */
export const READER_CHECK_INTERVAL_MILLIS = 1000;
/** Least remaining time for which an attempt is made, in milliseconds; two network crossings and a short answer. */
export const MIN_ATTEMPT_MILLIS = 15;
/** Interval between looks whether a service that serves nobody has returned, in milliseconds. */
export const RETURN_CHECK_INTERVAL_MILLIS = 25;
/** Shortest sleep before a backend server is looked for again, in milliseconds; timers are no finer. */
export const MIN_PAUSE_MILLIS = 1;
/** Part of a deadline reserved for sending the answer to the caller, in milliseconds. */
export const DEADLINE_MARGIN_MILLIS = 8;
/** Retry-After value for a refused caller if nothing is known about the backlog, in milliseconds. */
export const DEFAULT_RETRY_AFTER_MILLIS = 500;
/** Time without an answer of the store after which an unknown route or credential gets a retryable refusal, in milliseconds. */
export const STALE_CONFIGURATION_MILLIS = 4000;
/** Minimum interval between reads of the backend server list, as a share of the time for which a draining one still serves. */
export const SERVER_LIST_MIN_INTERVAL_SHARE = 0.3;
/** Time for which an entry that is no longer known to live keeps its share of the limits, in milliseconds; longer than a restart of all. */
export const SHARING_TIMEOUT_MILLIS = 10_000;
/** Time for which callers may cache an address answer, in milliseconds; a draining gateway listens for three of these. */
export const ADDRESS_LIFETIME_MILLIS = 2000;
/** Maximum number of addresses in one answer; the platform's callers use no more. */
export const MAX_ADDRESSES = 64;
/** Maximum size of the headers of a caller's request, in bytes; twice the largest limit that operators set. */
export const MAX_CALLER_HEADER_BYTES = 32_768;
/** Interval between checks for connections whose request headers are overdue, in milliseconds. */
export const CONNECTION_CHECK_INTERVAL_MILLIS = 1000;
/** Time for which an idle connection is kept beyond its limit, in milliseconds; callers use it up to the limit. */
export const KEEP_ALIVE_SLACK_MILLIS = 1000;
/** Share of the grace period in which a draining gateway still takes streams; the rest is longer than nearly all streams. */
export const GRACE_SHARE_STREAMS = 0.36;
/** Longest time in which it takes streams that may last longer than the process, in milliseconds. */
export const MAX_LONG_STREAMS_MILLIS = 2900;
/** Share of the grace period in which a draining gateway still accepts connections; callers keep an address for up to three lifetimes. */
export const GRACE_SHARE_LISTENING = 0.75;
/** Share of the grace period after which calls in flight are ended, so that the process exits in time. */
export const GRACE_SHARE_CALLS = 0.94;
/** Time for the answers of calls that were ended to reach their callers, in milliseconds. */
export const CUT_OFF_ANSWER_MILLIS = 150;
/** Longest time for which a connection stays open after its last answer until the caller closes it, in milliseconds. */
export const CLOSE_TIMEOUT_MILLIS = 5000;
/** Share of the connections above which one that waits for its caller gives its place to a new one. */
export const UNCROWDED_SHARE = 0.9;
/** Interval between checks whether calls are still in flight, in milliseconds. */
export const DRAIN_POLL_INTERVAL_MILLIS = 50;
/** Maximum number of backend servers tried for one call; a request that was not sent does not count as an attempt. */
export const MAX_TRIED_SERVERS = 4;
/** Retry-After value for calls that a draining gateway does not take, in milliseconds; other gateways take them at once. */
export const STOPPING_RETRY_AFTER_MILLIS = 50;
