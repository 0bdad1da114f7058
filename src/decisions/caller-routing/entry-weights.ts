/**
 * Weighs entries by their capacities, for callers and permits to follow. It addresses entries that differ by a factor of two in
 * processor time and of five in bandwidth: with equal shares the smallest are overloaded while the largest have room.
 */

/** What an entry states about itself; undefined if it is not known. */
export type Capacity = Readonly<{cpuCores?: number | undefined; linkMbps?: number | undefined}>;

/** Ratio of the largest to the smallest capacity up to which entries count as equal. */
const EQUAL_CAPACITY_RATIO = 1.25;

/** Median of the positive values; undefined if there are none. */
function readMedian(values: readonly number[]): number | undefined {
	const sorted = values.filter(value => value > 0 && Number.isFinite(value)).toSorted((left, right) => left - right);
	const upper = sorted[Math.floor(sorted.length / 2)];
	const lower = sorted[Math.floor((sorted.length - 1) / 2)];
	return upper === undefined || lower === undefined ? undefined : (upper + lower) / 2;
}

/** Values relative to their median; undefined where there is no positive value. */
function compareToMedian(values: ReadonlyArray<number | undefined>): ReadonlyArray<number | undefined> {
	const median = readMedian(values.filter(value => value !== undefined));
	return values.map(value => median === undefined || value === undefined || !(value > 0 && Number.isFinite(value)) ? undefined : value / median);
}

/**
 * Computes the weight of each entry: the smaller of its processor time and bandwidth, each relative to the median of the entries.
 * An entry without a known capacity gets the weight of the median entry. The result is undefined if the known capacities differ by
 * no more than a quarter; the entries then count as equal.
 */
export function weighEntries(capacities: readonly Capacity[]): readonly number[] | undefined {
	const cpuRatios = compareToMedian(capacities.map(({cpuCores}) => cpuCores));
	const linkRatios = compareToMedian(capacities.map(({linkMbps}) => linkMbps));
	const ratios = capacities.map((_, i) => {
		const known = [cpuRatios[i], linkRatios[i]].filter(ratio => ratio !== undefined);
		return known.length > 0 ? Math.min(...known) : undefined;
	});
	const known = ratios.filter(ratio => ratio !== undefined);
	const typical = readMedian(known);
	if (typical === undefined || Math.max(...known) <= Math.min(...known) * EQUAL_CAPACITY_RATIO) {
		return undefined;
	}

	return ratios.map(ratio => ratio ?? typical);
}
