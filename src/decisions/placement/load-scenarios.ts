/**
 * Collects load scenarios for steps that process only a few prompts: each prompt favours the experts of its own subject, so a map
 * that is balanced on average is unbalanced in each step. The loads of single ranks over short times show the subjects.
 */
import {sum} from '../sum.js';
import type {LoadScenario} from './layer-layout.js';

/** Largest number of recent samples kept. At a few prompts per step they cover about 1.5 s. */
const MAX_SCENARIOS = 32;
/** Largest number of scenarios that a map is planned for; the most similar samples are merged. */
const MAX_PLANNED_SCENARIOS = 14;
/** Minimum ratio of the tokens of a sample to the mean of all samples; smaller counts are accumulated first. */
const MIN_RELATIVE_TOKENS = 0.5;

/** Recent load scenarios of a group. */
export type LoadScenarios = Readonly<{
	/** Records how often a rank's requests have selected each expert since the last call, layer by layer in one list. */
	observe: (rank: number, counts: readonly number[]) => void;
	/** Returns the scenarios of one layer. */
	read: (layer: number) => readonly LoadScenario[];
	countSamples: () => number;
}>;

type Sample = Readonly<{counts: readonly number[]; tokens: number}>;

function add(left: readonly number[], right: readonly number[]): readonly number[] {
	return left.map((value, i) => value + (right[i] ?? 0));
}

/** Distance between the load distributions of two samples, from 0 to 2. */
function measureDistance(left: Sample, right: Sample): number {
	let distance = 0;
	for (let i = 0; i < left.counts.length; i++) {
		distance += Math.abs(((left.counts[i] ?? 0) / left.tokens) - ((right.counts[i] ?? 0) / right.tokens));
	}

	return distance;
}

/** Merges samples into the first `count`: each further one is added to the closest of them. */
function mergeClosest(samples: readonly Sample[], count: number): readonly Sample[] {
	const merged = samples.slice(0, count);
	for (const sample of samples.slice(count)) {
		let closest = 0;
		let minDistance = Infinity;
		for (const [i, other] of merged.entries()) {
			const distance = measureDistance(sample, other);
			if (distance < minDistance) {
				minDistance = distance;
				closest = i;
			}
		}

		const previous = merged[closest];
		if (previous) {
			merged[closest] = {counts: add(previous.counts, sample.counts), tokens: previous.tokens + sample.tokens};
		}
	}

	return merged;
}

/** Creates an empty collection for `layers` layers of `experts` experts. */
export function createLoadScenarios(layers: number, experts: number): LoadScenarios {
	const pending = new Map<number, readonly number[]>();
	let samples: readonly Sample[] = [];
	let meanTokens = 0;
	let merged: readonly Sample[] | undefined;

	return {
		observe(rank, counts) {
			const previous = pending.get(rank);
			const accumulated = previous ? add(previous, counts) : counts;
			const tokens = sum(accumulated);
			if (tokens === 0) {
				return;
			}

			if (tokens < meanTokens * MIN_RELATIVE_TOKENS) {
				pending.set(rank, accumulated);
				return;
			}

			pending.delete(rank);
			meanTokens = meanTokens === 0 ? tokens : meanTokens + ((tokens - meanTokens) / MAX_SCENARIOS);
			samples = [{counts: accumulated, tokens}, ...samples].slice(0, MAX_SCENARIOS);
			merged = undefined;
		},
		read(layer) {
			merged ??= mergeClosest(samples.toSorted((left, right) => right.tokens - left.tokens), MAX_PLANNED_SCENARIOS);
			return merged.map(({counts}) => {
				const loads = counts.slice(layer * experts, (layer + 1) * experts);
				return {loads, weight: sum(loads)};
			}).filter(({weight}) => weight > 0 && layer < layers);
		},
		countSamples: () => samples.length,
	};
}
