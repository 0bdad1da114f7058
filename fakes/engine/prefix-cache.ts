import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Clock} from '../../src/core/clock.js';
import type {CacheEvent} from '../../src/ports/model-engine.js';

/** Number of latest events that readers can still get. */
const MAX_RETAINED_EVENTS = 4096;

/** Options of the cache and of its events. */
export type PrefixCacheOptions = Readonly<{
	/** Maximum number of cached prefixes. */
	size: number;
	/** Delay before an event becomes visible to readers, in milliseconds. */
	eventLagMillis: number;
	/** Share of the events that are lost, from 0 to 1. */
	eventGapShare: number;
	seed: number;
	clock: Clock;
}>;

/** Prompt prefixes in the memory of an engine, with least-recently-used eviction. */
export type PrefixCache = {
	/** Adds a prefix or marks it as recently used. Returns whether it was cached before. */
	readonly touch: (prefixDigest: string) => boolean;
	/** Visible events in order; the sequence numbers of lost events are missing. */
	readonly readEvents: (afterSequence: number) => readonly CacheEvent[];
};

type DelayedEvent = Readonly<{event: CacheEvent; visibleMillis: number}>;

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
	const {size, eventLagMillis, eventGapShare, clock} = options;
	const generator = xoroshiro128plus(options.seed);
	const prefixes = new Set<string>();
	const events: DelayedEvent[] = [];
	let sequence = 0;

	function publish(prefixDigest: string, evicted: boolean): void {
		sequence += 1;
		if (uniformFloat64(generator) < eventGapShare) {
			return;
		}

		events.push({event: {sequence, prefixDigest, evicted}, visibleMillis: clock.monotonicMillis() + eventLagMillis});
		if (events.length > MAX_RETAINED_EVENTS) {
			events.shift();
		}
	}

	function evictLeastRecentlyUsed(): void {
		const [oldest] = prefixes;
		if (oldest !== undefined && prefixes.size > size) {
			prefixes.delete(oldest);
			publish(oldest, true);
		}
	}

	return {
		touch(prefixDigest) {
			const isCached = prefixes.delete(prefixDigest);
			prefixes.add(prefixDigest);
			if (!isCached) {
				publish(prefixDigest, false);
				evictLeastRecentlyUsed();
			}

			return isCached;
		},
		readEvents(afterSequence) {
			const nowMillis = clock.monotonicMillis();
			return events
				.filter(({event, visibleMillis}) => event.sequence > afterSequence && visibleMillis <= nowMillis)
				.map(({event}) => event);
		},
	};
}
