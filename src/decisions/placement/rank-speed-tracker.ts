/** Bounds of the ratio of a rank's time per token to the median of the group. */
const FACTOR_BOUNDS = {least: 0.25, largest: 8};
/** Relative change of a factor below which the change is ignored. */
const HYSTERESIS_SHARE = 0.1;
/** Largest relative difference between the largest and the smallest time at which all times are taken for that of the whole group. */
const SHARED_TIME_SPREAD = 0.05;
/** Number of consecutive observations of a rank that must show a change, so that a stall or a single outlier does not count. */
const CONFIRMING_OBSERVATIONS = 3;

/** Tokens and time of a rank from one report. The time is undefined without a report or with a stale one. */
export type RankTiming = Readonly<{tokens: number; time: number | undefined}>;

/** Estimates how slow each rank of a group is relative to the median. */
export type RankSpeedTracker = {
	readonly observe: (timings: readonly RankTiming[]) => void;
	/** Ratio of the time per token of each rank to the median; 1 for a rank that has never reported. */
	readonly readSlowFactors: () => readonly number[];
};

type RankEstimate = Readonly<{factor: number; observations: readonly number[]}>;

function findMedian(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** Time per token; undefined without a usable report. */
function computeTimePerToken({tokens, time}: RankTiming): number | undefined {
	return time !== undefined && Number.isFinite(time) && time > 0 && tokens > 0 ? time / tokens : undefined;
}

/** Whether all ranks report the same time, which then does not describe a single rank. */
function isSharedTime(timings: readonly RankTiming[]): boolean {
	const times = timings.map(({time}) => time ?? 0).filter(time => time > 0);
	return times.length === 0 || Math.max(...times) <= Math.min(...times) * (1 + SHARED_TIME_SPREAD);
}

function updateRank(before: RankEstimate, observed: number): RankEstimate {
	const bounded = Math.min(FACTOR_BOUNDS.largest, Math.max(FACTOR_BOUNDS.least, observed));
	const observations = [...before.observations, bounded].slice(-CONFIRMING_OBSERVATIONS);
	const isSlower = observations.every(value => value > before.factor * (1 + HYSTERESIS_SHARE));
	const isFaster = observations.every(value => value < before.factor * (1 - HYSTERESIS_SHARE));
	const isChanged = observations.length === CONFIRMING_OBSERVATIONS && (isSlower || isFaster);
	return {factor: isChanged ? findMedian(observations) : before.factor, observations};
}

/**
 * Creates a tracker for `ranks` ranks. A rank without a report keeps its factor. All ranks keep their factors when they report
 * the same time, which happens when they measure the step of the group instead of their own part of it.
 */
export function createRankSpeedTracker(ranks: number): RankSpeedTracker {
	let estimates: readonly RankEstimate[] = Array.from({length: ranks}, () => ({factor: 1, observations: []}));

	return {
		observe(timings) {
			if (isSharedTime(timings)) {
				return;
			}

			const timesPerToken = timings.map(timing => computeTimePerToken(timing));
			const median = findMedian(timesPerToken.filter(value => value !== undefined));
			estimates = estimates.map((estimate, rank) => {
				const observed = timesPerToken[rank];
				return observed === undefined || median === 0 ? estimate : updateRank(estimate, observed / median);
			});
		},
		readSlowFactors: () => estimates.map(({factor}) => factor),
	};
}
