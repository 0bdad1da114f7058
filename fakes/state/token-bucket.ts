import type {Clock} from '../../src/core/clock.js';

const MILLIS_PER_SECOND = 1000;

/** A limit on a rate that lets one second's worth through at once. */
export type TokenBucket = {
	/** Takes one token and gives 0, or gives the time until there is one, in milliseconds. */
	readonly take: () => number;
};

/** Creates a full bucket. */
export function createTokenBucket(clock: Clock, ratePerSecond: number): TokenBucket {
	const size = Math.max(1, ratePerSecond);
	let tokens = size;
	let filledMillis = clock.monotonicMillis();

	function refill(): void {
		const nowMillis = clock.monotonicMillis();
		tokens = Math.min(size, tokens + ((nowMillis - filledMillis) * ratePerSecond / MILLIS_PER_SECOND));
		filledMillis = nowMillis;
	}

	return {
		take() {
			refill();
			if (tokens < 1) {
				return (1 - tokens) * MILLIS_PER_SECOND / ratePerSecond;
			}

			tokens -= 1;
			return 0;
		},
	};
}
