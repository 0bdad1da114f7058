/** Counts how often each name occurs. */
export function countNames(names: readonly string[]): Readonly<Record<string, number>> {
	const counts: Record<string, number> = {};
	for (const name of names) {
		counts[name] = (counts[name] ?? 0) + 1;
	}

	return counts;
}
