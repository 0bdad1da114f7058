/** Observes how large the recent prompts of a service are, and whether they differ enough to be treated by size. */
import {
	MAX_PROMPT_SIZE_SAMPLES, MIN_MIXED_SIZE_RATIO, MIN_PROMPT_SIZE_SAMPLES, PROMPT_SIZE_QUANTILE,
} from './flow-constants.js';

/** Size of a prompt against the usual prompt of its service. */
export type PromptSize = 'short' | 'middle' | 'long';

/** Sizes of the recent prompts of one service. */
export type PromptSizes = Readonly<{
	note: (tokens: number) => void;
	/** Whether the recent prompts differ by more than a factor of two. */
	isMixed: () => boolean;
	/** Median of the recent prompts, in tokens; undefined before the first one. */
	readUsualTokens: () => number | undefined;
	/** `short` below 1 / 1.5 of the usual prompt, `long` above 1.5 of it. */
	classify: (tokens: number) => PromptSize;
}>;

/** Ratio to the usual prompt from which a prompt is long, and below the reciprocal of which it is short. */
const SIZE_CLASS_RATIO = 1.5;

type Summary = Readonly<{low: number; usual: number; high: number}>;

function summarize(recent: readonly number[]): Summary | undefined {
	const sorted = recent.toSorted((left, right) => left - right);
	const read = (quantile: number) => sorted[Math.round((sorted.length - 1) * quantile)];
	const [low, usual, high] = [read(PROMPT_SIZE_QUANTILE), read(0.5), read(1 - PROMPT_SIZE_QUANTILE)];
	return low === undefined || usual === undefined || high === undefined ? undefined : {low, usual, high};
}

/** Creates an observation without prompts. */
export function createPromptSizes(): PromptSizes {
	const recent: number[] = [];
	let next = 0;
	/** Computed when it is first read after a change. */
	let summary: Summary | undefined;

	function readSummary(): Summary | undefined {
		summary ??= summarize(recent);
		return summary;
	}

	return {
		note(tokens) {
			recent[next] = tokens;
			next = (next + 1) % MAX_PROMPT_SIZE_SAMPLES;
			summary = undefined;
		},
		isMixed() {
			const read = readSummary();
			return read !== undefined && recent.length >= MIN_PROMPT_SIZE_SAMPLES && read.high > read.low * MIN_MIXED_SIZE_RATIO;
		},
		readUsualTokens: () => readSummary()?.usual,
		classify(tokens) {
			const ratio = tokens / (readSummary()?.usual ?? tokens);
			return ratio > SIZE_CLASS_RATIO ? 'long' : (ratio * SIZE_CLASS_RATIO < 1 ? 'short' : 'middle');
		},
	};
}
