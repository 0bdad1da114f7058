/** How often a row is polled. */
export type PollTiming = Readonly<{
	/** Mean delay between two polls, in milliseconds. */
	intervalMillis: number;
	/** Limit of the mean delay when polls fail repeatedly, in milliseconds. */
	maxIntervalMillis: number;
}>;

export const DEFAULT_POLL_TIMING: PollTiming = {intervalMillis: 1000, maxIntervalMillis: 8000};

/** Shortest delay as a share of the mean; the longest is as far above the mean as the shortest is below it. */
const MIN_JITTER_FACTOR = 0.5;

/** Delay until the next poll: exponential backoff on consecutive failures, with uniform jitter around the mean. */
export function pollDelayMillis(timing: PollTiming, failures: number, random: number): number {
	const mean = Math.min(timing.maxIntervalMillis, timing.intervalMillis * (2 ** failures));
	return mean * (MIN_JITTER_FACTOR + random);
}
