/** Change of the prefixes that an engine holds. */
export type PrefixCacheChange = Readonly<{digest: string; evicted: boolean}>;

/** Prompt-prefix cache of a modelled engine: least recently used out first. */
export type PrefixCache = Readonly<{
	/** Whether the prefix is held; a held one counts as used. */
	use: (digest: string) => boolean;
	insert: (digest: string) => void;
}>;

/** Creates a cache of `capacity` prefixes that tells its changes to `onChange`. */
export function createPrefixCache(capacity: number, onChange: (change: PrefixCacheChange) => void): PrefixCache {
	const held = new Set<string>();

	function use(digest: string): boolean {
		const isHeld = held.delete(digest);
		if (isHeld) {
			held.add(digest);
		}

		return isHeld;
	}

	return {
		use,
		insert(digest) {
			if (use(digest)) {
				return;
			}

			held.add(digest);
			onChange({digest, evicted: false});
			for (const oldest of held) {
				if (held.size <= capacity) {
					return;
				}

				held.delete(oldest);
				onChange({digest: oldest, evicted: true});
			}
		},
	};
}
