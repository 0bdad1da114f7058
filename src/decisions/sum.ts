/** Returns the sum of the values; 0 for an empty list. */
export function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
