import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Gives a number from 0 (inclusive) to 1 (exclusive) at each call. */
export type RandomSource = () => number;

/** A source that gives the same numbers for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	return () => uniformFloat64(generator);
}
