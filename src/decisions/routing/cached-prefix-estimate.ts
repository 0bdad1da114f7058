/** Half-life of the probability that a prefix is cached, without further events about it. */
const HALF_LIFE_MILLIS = 120_000;
/** Factor on every probability after events were lost: any of the prefixes may have been evicted. */
const LOST_EVENTS_FACTOR = 0.6;
/** Probability that the prefix of a request sent by this entry is cached at the backend server. */
const OWN_REQUEST_PROBABILITY = 0.9;
/** Largest number of prefixes tracked for one backend server. */
export const MAX_PREFIXES_PER_BACKEND_SERVER = 1024;

type Entry = Readonly<{probability: number; atMillis: number}>;

/**
 * Estimated content of the prompt cache of one backend server.
 *
 * Ordered from the least to the most recently updated prefix; immutable.
 */
export type CachedPrefixEstimate = Readonly<{entries: ReadonlyMap<string, Entry>}>;

/** An event that affects the cache of one backend server. */
export type PrefixCacheEvent
	= | Readonly<{tag: 'cached'; digest: string}>
		| Readonly<{tag: 'evicted'; digest: string}>
	/** This entry sent a request with these prefixes there. */
		| Readonly<{tag: 'requested'; digests: readonly string[]}>
	/** Events were lost. */
		| Readonly<{tag: 'gap'}>;

/** Estimate for a backend server without events. */
export const emptyCachedPrefixEstimate: CachedPrefixEstimate = {entries: new Map()};

function decay(entry: Entry, nowMillis: number): number {
	const ageMillis = Math.max(0, nowMillis - entry.atMillis);
	return entry.probability * (2 ** -(ageMillis / HALF_LIFE_MILLIS));
}

function put(entries: Map<string, Entry>, digest: string, entry: Entry): void {
	entries.delete(digest);
	entries.set(digest, entry);
}

function evictOldest(entries: Map<string, Entry>): void {
	for (const digest of entries.keys()) {
		if (entries.size <= MAX_PREFIXES_PER_BACKEND_SERVER) {
			return;
		}

		entries.delete(digest);
	}
}

function applyEvent(entries: Map<string, Entry>, event: PrefixCacheEvent, nowMillis: number): void {
	switch (event.tag) {
		case 'cached': {
			put(entries, event.digest, {probability: 1, atMillis: nowMillis});
			break;
		}

		case 'evicted': {
			entries.delete(event.digest);
			break;
		}

		case 'requested': {
			for (const digest of event.digests) {
				put(entries, digest, {probability: OWN_REQUEST_PROBABILITY, atMillis: nowMillis});
			}

			break;
		}

		case 'gap': {
			for (const [digest, entry] of entries) {
				entries.set(digest, {...entry, probability: entry.probability * LOST_EVENTS_FACTOR});
			}
		}
	}
}

/** Returns the estimate after some events, applied in order. */
export function updateCachedPrefixEstimate(estimate: CachedPrefixEstimate, events: readonly PrefixCacheEvent[], nowMillis: number): CachedPrefixEstimate {
	if (events.length === 0) {
		return estimate;
	}

	const entries = new Map(estimate.entries);
	for (const event of events) {
		applyEvent(entries, event, nowMillis);
	}

	evictOldest(entries);
	return {entries};
}

/** Probability that the prefix is cached, from 0 to 1. */
export function readCachedProbability(estimate: CachedPrefixEstimate, digest: string, nowMillis: number): number {
	const entry = estimate.entries.get(digest);
	return entry ? decay(entry, nowMillis) : 0;
}
