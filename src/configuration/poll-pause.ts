/** How often a row is polled, in milliseconds. */
export type PollTiming = Readonly<{
	/** Mean time between two polls. */
	intervalMillis: number;
	/** Longest mean time between two polls while they fail. */
	maxIntervalMillis: number;
}>;

/** Timing of the polls for the configuration. */
export const DEFAULT_POLL_TIMING: PollTiming = {intervalMillis: 1000, maxIntervalMillis: 8000};

/** Smallest pause as a share of the mean; the largest is as far above it. */
const MIN_JITTER = 0.5;

/** Time until the next poll: doubled for each failure in a row, and spread evenly around its mean. */
export function pollPauseMillis(timing: PollTiming, failures: number, random: number): number {
	const mean = Math.min(timing.maxIntervalMillis, timing.intervalMillis * (2 ** failures));
	return mean * (MIN_JITTER + random);
}
