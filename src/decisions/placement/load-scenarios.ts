/**
 * Answers steps whose load is that of a few prompts: each prompt favours experts of its own subject, so a map that is even on
 * average is uneven in each step. The loads of single ranks over short times show the subjects.
 */
import {sum} from '../sum.js';
import type {LoadScenario} from './layer-layout.js';

/** Scenarios that are kept; older ones give way. At a few prompts a pass this is about a second and a half. */
const MAX_SCENARIOS = 32;
/** Scenarios that a map is planned for; the closest ones are merged. */
const PLANNED_SCENARIOS = 14;
/** Tokens of a scenario over the mean of all, from which on it is kept; smaller ones are collected first. */
const LEAST_RELATIVE_TOKENS = 0.5;

/** Recent loads of a group. */
export type LoadScenarios = Readonly<{
	/** Takes how often a rank's requests chose each expert since the last time, layer by layer in one list. */
	observe: (rank: number, counts: readonly number[]) => void;
	/** Scenarios of one layer. */
	read: (layer: number) => readonly LoadScenario[];
	countSamples: () => number;
}>;

type Sample = Readonly<{counts: readonly number[]; tokens: number}>;

function add(left: readonly number[], right: readonly number[]): readonly number[] {
	return left.map((value, i) => value + (right[i] ?? 0));
}

/** Distance of two loads by their shares, from 0 to 2. */
function measureDistance(left: Sample, right: Sample): number {
	let distance = 0;
	for (let i = 0; i < left.counts.length; i++) {
		distance += Math.abs(((left.counts[i] ?? 0) / left.tokens) - ((right.counts[i] ?? 0) / right.tokens));
	}

	return distance;
}

/** Merges samples until `count` are left: each joins the closest of those that came first. */
function mergeClosest(samples: readonly Sample[], count: number): readonly Sample[] {
	const merged = samples.slice(0, count);
	for (const sample of samples.slice(count)) {
		let closest = 0;
		let leastDistance = Infinity;
		for (const [i, other] of merged.entries()) {
			const distance = measureDistance(sample, other);
			if (distance < leastDistance) {
				leastDistance = distance;
				closest = i;
			}
		}

		const former = merged[closest];
		if (former) {
			merged[closest] = {counts: add(former.counts, sample.counts), tokens: former.tokens + sample.tokens};
		}
	}

	return merged;
}

/** Creates an empty record for `layers` layers of `experts` experts. */
export function createLoadScenarios(layers: number, experts: number): LoadScenarios {
	const collected = new Map<number, readonly number[]>();
	let samples: readonly Sample[] = [];
	let meanTokens = 0;
	let planned: readonly Sample[] | undefined;

	return {
		observe(rank, counts) {
			const former = collected.get(rank);
			const whole = former ? add(former, counts) : counts;
			const tokens = sum(whole);
			if (tokens === 0) {
				return;
			}

			if (tokens < meanTokens * LEAST_RELATIVE_TOKENS) {
				collected.set(rank, whole);
				return;
			}

			collected.delete(rank);
			meanTokens = meanTokens === 0 ? tokens : meanTokens + ((tokens - meanTokens) / MAX_SCENARIOS);
			samples = [{counts: whole, tokens}, ...samples].slice(0, MAX_SCENARIOS);
			planned = undefined;
		},
		read(layer) {
			planned ??= mergeClosest(samples.toSorted((left, right) => right.tokens - left.tokens), PLANNED_SCENARIOS);
			return planned.map(({counts}) => {
				const loads = counts.slice(layer * experts, (layer + 1) * experts);
				return {loads, weight: sum(loads)};
			}).filter(({weight}) => weight > 0 && layer < layers);
		},
		countSamples: () => samples.length,
	};
}
