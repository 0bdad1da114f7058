/** A rank's time per token is compared with the median of the group within these bounds. */
const FACTOR_BOUNDS = {least: 0.25, largest: 8};
/** A change of a factor by less than this share is ignored. */
const DEAD_BAND = 0.1;
/** Times that differ by less than this share, largest to smallest, are taken for the time of the whole group. */
const SHARED_TIME_SPREAD = 0.05;
/** Observations of a rank that must all show a change, so that a stall or a single odd step does not count. */
const OBSERVATIONS = 3;

/** What one report says of a rank's pace. Undefined time: no report, or one that is too old. */
export type RankTiming = Readonly<{tokens: number; time: number | undefined}>;

/** Estimates how much slower than usual each rank of a group is. */
export type RankSpeedTracker = {
	readonly observe: (paces: readonly RankTiming[]) => void;
	/** Time per token of each rank over the usual one; 1 for a rank that never reported. */
	readonly readSlowFactors: () => readonly number[];
};

type RankEstimate = Readonly<{factor: number; observations: readonly number[]}>;

function findMedian(values: readonly number[]): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
}

/** Time per token; undefined without a usable report. */
function measurePace({tokens, time}: RankTiming): number | undefined {
	return time !== undefined && Number.isFinite(time) && time > 0 && tokens > 0 ? time / tokens : undefined;
}

/** Whether all ranks report the same time, which then says nothing about a single one. */
function isSharedTime(paces: readonly RankTiming[]): boolean {
	const times = paces.map(({time}) => time ?? 0).filter(time => time > 0);
	return times.length === 0 || Math.max(...times) <= Math.min(...times) * (1 + SHARED_TIME_SPREAD);
}

function updateRank(before: RankEstimate, observed: number): RankEstimate {
	const bounded = Math.min(FACTOR_BOUNDS.largest, Math.max(FACTOR_BOUNDS.least, observed));
	const observations = [...before.observations, bounded].slice(-OBSERVATIONS);
	const isSlower = observations.every(value => value > before.factor * (1 + DEAD_BAND));
	const isFaster = observations.every(value => value < before.factor * (1 - DEAD_BAND));
	const isChanged = observations.length === OBSERVATIONS && (isSlower || isFaster);
	return {factor: isChanged ? findMedian(observations) : before.factor, observations};
}

/**
 * Creates a tracker for `ranks` ranks. A rank without a report keeps its factor; so do all when they report one and the
 * same time, as ranks do that measure the group's step and not their own part of it.
 */
export function createRankSpeedTracker(ranks: number): RankSpeedTracker {
	let estimates: readonly RankEstimate[] = Array.from({length: ranks}, () => ({factor: 1, observations: []}));

	return {
		observe(paces) {
			if (isSharedTime(paces)) {
				return;
			}

			const perToken = paces.map(pace => measurePace(pace));
			const usual = findMedian(perToken.filter(value => value !== undefined));
			estimates = estimates.map((estimate, rank) => {
				const observed = perToken[rank];
				return observed === undefined || usual === 0 ? estimate : updateRank(estimate, observed / usual);
			});
		},
		readSlowFactors: () => estimates.map(({factor}) => factor),
	};
}
