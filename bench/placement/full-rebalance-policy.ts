import {createRankSpeedTracker, type RankSpeedTracker} from '../../src/decisions/placement/rank-speed-tracker.js';
import {placeGreedily} from './greedy-placement.js';
import type {LayerObservation, PlacementPolicy} from './placement-policy.js';
import {relabelSlots} from './relabel-slots.js';

type LayerState = {tokenSums: readonly number[]; readonly speedTracker: RankSpeedTracker};

function addTokens(tokenSums: readonly number[], tokens: readonly number[]): readonly number[] {
	return tokens.map((count, expert) => count + (tokenSums[expert] ?? 0));
}

/** Recomputes the placement of all experts every `intervalSteps` steps from the load since the previous rebalance. */
export function createFullRebalancePolicy(intervalSteps: number, ranks: number): PlacementPolicy {
	const states = new Map<number, LayerState>();

	function getState(layer: number): LayerState {
		const state = states.get(layer) ?? {tokenSums: [], speedTracker: createRankSpeedTracker(ranks)};
		states.set(layer, state);
		return state;
	}

	function rebalance(state: LayerState, {map}: LayerObservation) {
		const slowFactors = state.speedTracker.readSlowFactors();
		const bundles = placeGreedily({loads: state.tokenSums, slowFactors, slotsPerRank: map.slotsPerRank});
		state.tokenSums = [];
		return relabelSlots(map, bundles, slowFactors);
	}

	return {
		name: 'full-rebalance',
		afterStep(observation) {
			const state = getState(observation.layer);
			state.tokenSums = addTokens(state.tokenSums, observation.tokens);
			state.speedTracker.observe(observation.rankTokens.map((tokens, rank) => ({tokens, time: observation.rankTimes[rank]})));
			return (observation.step + 1) % intervalSteps === 0 ? rebalance(state, observation) : undefined;
		},
	};
}
