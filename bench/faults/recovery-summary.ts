/** Times from faults of one kind until new calls were answered, in milliseconds. */
export type RecoverySummary = Readonly<{median: number; largest: number}>;

/** Summarizes recovery times by kind of fault. */
export function summarizeRecovery(times: ReadonlyArray<Readonly<{name: string; millis: number}>>): Readonly<Record<string, RecoverySummary>> {
	const summaries: Record<string, RecoverySummary> = {};
	for (const name of new Set(times.map(time => time.name))) {
		const sorted = times.filter(time => time.name === name).map(time => Math.round(time.millis)).toSorted((left, right) => left - right);
		summaries[name] = {median: sorted[Math.floor(sorted.length / 2)] ?? 0, largest: sorted.at(-1) ?? 0};
	}

	return summaries;
}
