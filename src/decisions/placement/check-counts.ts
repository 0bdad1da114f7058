import {fail, succeed, type Result} from '../../core/result.js';
import type {PlacementError} from './placement-types.js';

/** Rejects counts that are not exactly one finite, non-negative number for each expert. */
export function checkCounts(layer: number, counts: readonly number[], experts: number): Result<void, PlacementError> {
	if (counts.length !== experts) {
		return fail({
			tag: 'wrong_length', layer, expected: experts, actual: counts.length,
		});
	}

	const expert = counts.findIndex(count => !Number.isFinite(count) || count < 0);
	return expert === -1
		? succeed(undefined)
		: fail({
			tag: 'bad_count', layer, expert, value: counts[expert] ?? Number.NaN,
		});
}
