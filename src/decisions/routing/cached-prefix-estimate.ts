/** Time in which the belief in a cached prefix halves without news of it. */
const BELIEF_HALF_LIFE_MILLIS = 120_000;
/** Factor on every belief after events were lost: any of the prefixes may be gone. */
const GAP_FACTOR = 0.6;
/** Belief in a prefix that an own request brought to the backend server. */
const OWN_REQUEST_BELIEF = 0.9;
/** Largest number of prefixes believed cached at one backend server. */
export const MAX_PREFIXES_PER_BACKEND_SERVER = 1024;

type Entry = Readonly<{probability: number; atMillis: number}>;

/**
 * What this entry believes to be in the prompt cache of one backend server.
 *
 * Ordered from the prefix heard of longest ago to the latest one; immutable.
 */
export type CachedPrefixEstimate = Readonly<{entries: ReadonlyMap<string, Entry>}>;

/** News about the cache of one backend server. */
export type PrefixCacheEvent
	= | Readonly<{tag: 'cached'; digest: string}>
		| Readonly<{tag: 'evicted'; digest: string}>
	/** Own request with these prefixes was sent there. */
		| Readonly<{tag: 'requested'; digests: readonly string[]}>
	/** Events were lost. */
		| Readonly<{tag: 'gap'}>;

/** The belief about a backend server of which nothing was heard. */
export const emptyCachedPrefixEstimate: CachedPrefixEstimate = {entries: new Map()};

function decay(entry: Entry, nowMillis: number): number {
	const ageMillis = Math.max(0, nowMillis - entry.atMillis);
	return entry.probability * (2 ** -(ageMillis / BELIEF_HALF_LIFE_MILLIS));
}

function put(entries: Map<string, Entry>, digest: string, entry: Entry): void {
	entries.delete(digest);
	entries.set(digest, entry);
}

function dropOldest(entries: Map<string, Entry>): void {
	for (const digest of entries.keys()) {
		if (entries.size <= MAX_PREFIXES_PER_BACKEND_SERVER) {
			return;
		}

		entries.delete(digest);
	}
}

function applyOne(entries: Map<string, Entry>, news: PrefixCacheEvent, nowMillis: number): void {
	switch (news.tag) {
		case 'cached': {
			put(entries, news.digest, {probability: 1, atMillis: nowMillis});
			break;
		}

		case 'evicted': {
			entries.delete(news.digest);
			break;
		}

		case 'requested': {
			for (const digest of news.digests) {
				put(entries, digest, {probability: OWN_REQUEST_BELIEF, atMillis: nowMillis});
			}

			break;
		}

		case 'gap': {
			for (const [digest, entry] of entries) {
				entries.set(digest, {...entry, probability: entry.probability * GAP_FACTOR});
			}
		}
	}
}

/** The belief after some news, in the order they came. */
export function updateCachedPrefixEstimate(belief: CachedPrefixEstimate, news: readonly PrefixCacheEvent[], nowMillis: number): CachedPrefixEstimate {
	if (news.length === 0) {
		return belief;
	}

	const entries = new Map(belief.entries);
	for (const item of news) {
		applyOne(entries, item, nowMillis);
	}

	dropOldest(entries);
	return {entries};
}

/** Probability that the prefix is cached, from 0 to 1. */
export function readCachedProbability(belief: CachedPrefixEstimate, digest: string, nowMillis: number): number {
	const entry = belief.entries.get(digest);
	return entry ? decay(entry, nowMillis) : 0;
}
