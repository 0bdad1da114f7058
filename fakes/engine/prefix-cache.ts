import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Clock} from '../../src/core/clock.js';
import type {CacheEvent} from '../../src/ports/model-engine.js';

/** Events kept for readers. */
const KEPT_EVENTS = 4096;

/** How the cache and its events behave. */
export type PrefixCacheOptions = Readonly<{
	/** Prefixes held at once. */
	size: number;
	/** Time until an event is shown, in milliseconds. */
	eventLagMillis: number;
	/** Share of the events that are never shown, from 0 to 1. */
	eventGapShare: number;
	seed: number;
	clock: Clock;
}>;

/** Prompt prefixes in the memory of an engine; the least recently used leaves first. */
export type PrefixCache = {
	/** Brings a prefix in; says whether it was there before. */
	readonly touch: (prefixDigest: string) => boolean;
	/** Events that are shown by now, in order; numbers of lost ones are missing. */
	readonly readEvents: (afterSequence: number) => readonly CacheEvent[];
};

type ShownEvent = Readonly<{event: CacheEvent; shownMillis: number}>;

/** Creates an empty cache. */
export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
	const {size, eventLagMillis, eventGapShare, clock} = options;
	const draws = xoroshiro128plus(options.seed);
	const held = new Set<string>();
	const events: ShownEvent[] = [];
	let sequence = 0;

	function publish(prefixDigest: string, evicted: boolean): void {
		sequence += 1;
		if (uniformFloat64(draws) < eventGapShare) {
			return;
		}

		events.push({event: {sequence, prefixDigest, evicted}, shownMillis: clock.monotonicMillis() + eventLagMillis});
		if (events.length > KEPT_EVENTS) {
			events.shift();
		}
	}

	function evictOldest(): void {
		const [oldest] = held;
		if (oldest !== undefined && held.size > size) {
			held.delete(oldest);
			publish(oldest, true);
		}
	}

	return {
		touch(prefixDigest) {
			const isKnown = held.delete(prefixDigest);
			held.add(prefixDigest);
			if (!isKnown) {
				publish(prefixDigest, false);
				evictOldest();
			}

			return isKnown;
		},
		readEvents(afterSequence) {
			const nowMillis = clock.monotonicMillis();
			return events
				.filter(({event, shownMillis}) => event.sequence > afterSequence && shownMillis <= nowMillis)
				.map(({event}) => event);
		},
	};
}
