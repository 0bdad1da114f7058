/** Sum of the values; 0 of none. */
export function sum(values: readonly number[]): number {
	let total = 0;
	for (const value of values) {
		total += value;
	}

	return total;
}
