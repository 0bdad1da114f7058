import type {RandomSource} from '../../src/decisions/random.js';

/** A draw from the exponential distribution. */
export function drawExponential(mean: number, random: RandomSource): number {
	return -mean * Math.log(1 - random());
}

/** Gives numbers from 0 to `count` - 1; number i has a weight of 1 / (i + 1) ** exponent. */
export function createZipf(count: number, exponent: number, random: RandomSource): () => number {
	const cumulative: number[] = [];
	let total = 0;
	for (let i = 0; i < count; i++) {
		total += 1 / ((i + 1) ** exponent);
		cumulative.push(total);
	}

	return () => {
		const wanted = random() * total;
		return cumulative.findIndex(value => value > wanted);
	};
}

/** The value below which `share` of the values lie; 0 without values. */
export function quantile(values: readonly number[], share: number): number {
	const sorted = values.toSorted((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
}

/** The mean; 0 without values. */
export function mean(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return values.length === 0 ? 0 : total / values.length;
}

/** Rounds to `digits` digits after the point. */
export function round(value: number, digits = 2): number {
	return Number(value.toFixed(digits));
}
