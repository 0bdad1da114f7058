import type {Clock} from '../../src/core/clock.js';

const MILLIS_PER_SECOND = 1000;

/** A rate limit that allows a burst of one second's worth of tokens. */
export type TokenBucket = {
	/** Takes one token and returns 0, or returns the time until one is available, in milliseconds. */
	readonly take: () => number;
};

/** Creates a full bucket. */
export function createTokenBucket(clock: Clock, ratePerSecond: number): TokenBucket {
	const capacity = Math.max(1, ratePerSecond);
	let tokens = capacity;
	let refilledMillis = clock.monotonicMillis();

	function refill(): void {
		const nowMillis = clock.monotonicMillis();
		tokens = Math.min(capacity, tokens + ((nowMillis - refilledMillis) * ratePerSecond / MILLIS_PER_SECOND));
		refilledMillis = nowMillis;
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
