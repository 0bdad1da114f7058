import type {RandomSource} from '../../src/decisions/random.js';

/** Draws from the exponential distribution. */
export function drawExponential(mean: number, random: RandomSource): number {
	return -mean * Math.log(1 - random());
}

/** Creates a sampler of numbers from 0 to `count` - 1; number i has a weight of 1 / (i + 1) ** exponent. */
export function createZipfSampler(count: number, exponent: number, random: RandomSource): () => number {
	const cumulative: number[] = [];
	let total = 0;
	for (let i = 0; i < count; i++) {
		total += 1 / ((i + 1) ** exponent);
		cumulative.push(total);
	}

	return () => {
		const threshold = random() * total;
		return cumulative.findIndex(value => value > threshold);
	};
}

/** The value below which `share` of the values lie; 0 for an empty list. */
export function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** The mean; 0 for an empty list. */
export function mean(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return values.length === 0 ? 0 : total / values.length;
}

/** Rounds to `digits` decimal places. */
export function round(value: number, digits = 2): number {
	return Number(value.toFixed(digits));
}
