import {createRankSpeedTracker, type RankSpeedTracker} from '../../src/decisions/placement/rank-speed-tracker.js';
import {placeGreedily} from './greedy-bundles.js';
import type {LayerObservation, PlacementPolicy} from './placement-policy.js';
import {relabelSlots} from './relabel-slots.js';

type LayerMemory = {sums: readonly number[]; readonly paces: RankSpeedTracker};

function addUp(sums: readonly number[], tokens: readonly number[]): readonly number[] {
	return tokens.map((count, expert) => count + (sums[expert] ?? 0));
}

/** Places all experts anew every `interval` steps, from the load since the last time. */
export function createFullRebalancePolicy(interval: number, ranks: number): PlacementPolicy {
	const memories = new Map<number, LayerMemory>();

	function recall(layer: number): LayerMemory {
		const memory = memories.get(layer) ?? {sums: [], paces: createRankSpeedTracker(ranks)};
		memories.set(layer, memory);
		return memory;
	}

	function rebalance(memory: LayerMemory, {map}: LayerObservation) {
		const slowFactors = memory.paces.readSlowFactors();
		const bundles = placeGreedily({loads: memory.sums, slowFactors, slotsPerRank: map.slotsPerRank});
		memory.sums = [];
		return relabelSlots(map, bundles, slowFactors);
	}

	return {
		name: 'full-rebalance',
		afterStep(observation) {
			const memory = recall(observation.layer);
			memory.sums = addUp(memory.sums, observation.tokens);
			memory.paces.observe(observation.rankTokens.map((tokens, rank) => ({tokens, time: observation.rankTimes[rank]})));
			return (observation.step + 1) % interval === 0 ? rebalance(memory, observation) : undefined;
		},
	};
}
