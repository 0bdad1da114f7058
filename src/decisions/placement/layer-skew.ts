import type {LayerMap} from '../../ports/model-engine.js';

/** Counts the copies of each of `experts` experts in a layer. */
export function countCopies(map: LayerMap, experts: number): number[] {
	const copies = Array.from({length: experts}, () => 0);
	for (const expert of map.slots) {
		if (expert >= 0) {
			copies[expert] = (copies[expert] ?? 0) + 1;
		}
	}

	return copies;
}

/** Computes the tokens of each rank; copies of an expert share its tokens evenly. */
export function measureRankTokens(map: LayerMap, loads: readonly number[]): number[] {
	const copies = countCopies(map, loads.length);
	const tokens = Array.from({length: map.slots.length / map.slotsPerRank}, () => 0);
	for (const [slot, expert] of map.slots.entries()) {
		if (expert >= 0) {
			const rank = Math.floor(slot / map.slotsPerRank);
			tokens[rank] = (tokens[rank] ?? 0) + ((loads[expert] ?? 0) / (copies[expert] ?? 1));
		}
	}

	return tokens;
}

/** Computes the time of each rank for a layer, in tokens of a typical rank. */
export function measureRankTimes(map: LayerMap, loads: readonly number[], slowFactors: readonly number[]): number[] {
	return measureRankTokens(map, loads).map((tokens, rank) => tokens * (slowFactors[rank] ?? 1));
}

/** Computes the ratio of the largest to the mean time; 1 when there is no load. */
export function measureSkew(times: readonly number[]): number {
	let sum = 0;
	let largest = 0;
	for (const time of times) {
		sum += time;
		largest = Math.max(largest, time);
	}

	return sum > 0 ? largest * times.length / sum : 1;
}
