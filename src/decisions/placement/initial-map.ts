import {fail, succeed, type Result} from '../../core/result.js';
import type {ExpertMap, LayerMap} from '../../ports/model-engine.js';
import type {GroupShape, PlacementError} from './placement-types.js';

/** Marks a slot that holds no expert. */
export const EMPTY_SLOT = -1;

/** Removes and returns the first expert of `queue` that is not in `held`. */
function takeFirstAbsent(queue: number[], held: ReadonlySet<number>): number {
	const position = queue.findIndex(expert => !held.has(expert));
	return position === -1 ? EMPTY_SLOT : queue.splice(position, 1)[0] ?? EMPTY_SLOT;
}

/** Lists experts 0, 1, 2, ... cyclically, one for each slot. */
function createRoundRobinQueue(shape: GroupShape): number[] {
	return Array.from({length: shape.ranks * shape.slotsPerRank}, (_, i) => i % shape.experts);
}

function createInitialLayer(shape: GroupShape): LayerMap {
	const queue = createRoundRobinQueue(shape);
	const held = Array.from({length: shape.ranks}, () => new Set<number>());
	const slots = Array.from({length: shape.ranks * shape.slotsPerRank}, () => EMPTY_SLOT);
	for (let column = 0; column < shape.slotsPerRank; column++) {
		for (const [rank, experts] of held.entries()) {
			const expert = takeFirstAbsent(queue, experts);
			experts.add(expert);
			slots[(rank * shape.slotsPerRank) + column] = expert;
		}
	}

	return {slotsPerRank: shape.slotsPerRank, slots};
}

/**
 * Creates the map of a group whose load is unknown: experts are assigned round robin to the ranks, then further copies in
 * index order until the slots are full. A rank never holds an expert twice.
 */
export function createInitialMap(shape: GroupShape): Result<ExpertMap, PlacementError> {
	if (shape.ranks < 1) {
		return fail({tag: 'no_ranks'});
	}

	const slots = shape.ranks * shape.slotsPerRank;
	if (slots < shape.experts) {
		return fail({tag: 'too_few_slots', slots, experts: shape.experts});
	}

	const layer = createInitialLayer(shape);
	return succeed({layers: Array.from({length: shape.layers}, () => layer)});
}
