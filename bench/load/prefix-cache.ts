/** A prefix inserted into or evicted from the cache of an engine. */
export type PrefixCacheChange = Readonly<{digest: string; evicted: boolean}>;

/** Prompt-prefix cache of a modelled engine with LRU eviction. */
export type PrefixCache = Readonly<{
	/** Returns whether the prefix is cached, and marks it as most recently used. */
	touch: (digest: string) => boolean;
	insert: (digest: string) => void;
}>;

/** Creates a cache of `capacity` prefixes that reports its changes to `onChange`. */
export function createPrefixCache(capacity: number, onChange: (change: PrefixCacheChange) => void): PrefixCache {
	const prefixes = new Set<string>();

	function touch(digest: string): boolean {
		const isHeld = prefixes.delete(digest);
		if (isHeld) {
			prefixes.add(digest);
		}

		return isHeld;
	}

	return {
		touch,
		insert(digest) {
			if (touch(digest)) {
				return;
			}

			prefixes.add(digest);
			onChange({digest, evicted: false});
			for (const oldest of prefixes) {
				if (prefixes.size <= capacity) {
					return;
				}

				prefixes.delete(oldest);
				onChange({digest: oldest, evicted: true});
			}
		},
	};
}
