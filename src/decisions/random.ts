import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Numbers discarded initially, since those of neighbouring seeds are similar. */
const WARM_UP_DRAWS = 64;

/** Returns a number from 0 (inclusive) to 1 (exclusive) at each call. */
export type RandomSource = () => number;

/** Creates a source that returns the same numbers for the same seed. */
export function createSeededRandom(seed: number): RandomSource {
	const generator = xoroshiro128plus(seed);
	for (let i = 0; i < WARM_UP_DRAWS; i++) {
		generator.next();
	}

	return () => uniformFloat64(generator);
}

/** Picks one of the items with equal probability; undefined when there is none. */
export function pickOne<T>(items: readonly T[], random: RandomSource): T | undefined {
	return items[Math.floor(random() * items.length)];
}
