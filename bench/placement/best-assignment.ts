/**
 * Finds the assignment of rows to columns with the least total cost (Hungarian method with potentials).
 *
 * `cost` is square. The result holds the column of each row.
 */
export function findBestAssignment(cost: ReadonlyArray<readonly number[]>): readonly number[] {
	const size = cost.length;
	const rowPotential = Array.from({length: size + 1}, () => 0);
	const columnPotential = Array.from({length: size + 1}, () => 0);
	/** Row, counted from 1, that a column is assigned to; column 0 holds the row being added. */
	const rowOfColumn = Array.from({length: size + 1}, () => 0);

	function findPath(): Readonly<{lastColumn: number; previous: readonly number[]}> {
		const least = Array.from({length: size + 1}, () => Number.POSITIVE_INFINITY);
		const previous = Array.from({length: size + 1}, () => 0);
		const isUsed = Array.from({length: size + 1}, () => false);
		let column = 0;
		while (rowOfColumn[column] !== 0) {
			isUsed[column] = true;
			const row = rowOfColumn[column] ?? 0;
			let delta = Number.POSITIVE_INFINITY;
			let nextColumn = 0;
			for (let other = 1; other <= size; other++) {
				if (isUsed[other]) {
					continue;
				}

				const reduced = (cost[row - 1]?.[other - 1] ?? 0) - (rowPotential[row] ?? 0) - (columnPotential[other] ?? 0);
				if (reduced < (least[other] ?? 0)) {
					least[other] = reduced;
					previous[other] = column;
				}

				if ((least[other] ?? 0) < delta) {
					delta = least[other] ?? 0;
					nextColumn = other;
				}
			}

			for (let other = 0; other <= size; other++) {
				if (isUsed[other]) {
					const usedRow = rowOfColumn[other] ?? 0;
					rowPotential[usedRow] = (rowPotential[usedRow] ?? 0) + delta;
					columnPotential[other] = (columnPotential[other] ?? 0) - delta;
				} else {
					least[other] = (least[other] ?? 0) - delta;
				}
			}

			column = nextColumn;
		}

		return {lastColumn: column, previous};
	}

	for (let row = 1; row <= size; row++) {
		rowOfColumn[0] = row;
		const {lastColumn, previous} = findPath();
		for (let column = lastColumn; column !== 0; column = previous[column] ?? 0) {
			rowOfColumn[column] = rowOfColumn[previous[column] ?? 0] ?? 0;
		}
	}

	const columnOfRow = Array.from({length: size}, () => 0);
	for (let column = 1; column <= size; column++) {
		columnOfRow[(rowOfColumn[column] ?? 1) - 1] = column - 1;
	}

	return columnOfRow;
}
