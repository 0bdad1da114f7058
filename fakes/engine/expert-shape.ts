import type {ExpertMap} from '../../src/ports/model-engine.js';

/** Dimensions of a model and of the group that runs it. */
export type ExpertShape = Readonly<{
	ranks: number;
	layers: number;
	experts: number;
	/** Expert copies that one rank holds per layer. */
	slotsPerRank: number;
}>;

function createSlots({ranks, experts, slotsPerRank}: ExpertShape): readonly number[] {
	return Array.from({length: ranks * slotsPerRank}, (_, index) => {
		const rank = Math.floor(index / slotsPerRank);
		const expert = ((index % slotsPerRank) * ranks) + rank;
		return expert < experts ? expert : -1;
	});
}

/** The map of epoch 0, the same in every rank: expert `e` has one copy, at rank `e` modulo the number of ranks; the other slots are empty. */
export function createInitialMap(shape: ExpertShape): ExpertMap {
	const slots = createSlots(shape);
	return {layers: Array.from({length: shape.layers}, () => ({slotsPerRank: shape.slotsPerRank, slots}))};
}

/** Experts that `rank` holds in a layer, without empty slots. */
export function expertsOfRank(map: ExpertMap, layer: number, rank: number): readonly number[] {
	const {slotsPerRank, slots} = map.layers[layer] ?? {slotsPerRank: 0, slots: []};
	return slots.slice(rank * slotsPerRank, (rank + 1) * slotsPerRank).filter(expert => expert >= 0);
}

/** Tokens that `rank` processes in a layer if the copies of an expert share its tokens evenly. */
export function tokensOfRank(map: ExpertMap, layer: number, rank: number, tokens: readonly number[]): number {
	const slots = map.layers[layer]?.slots ?? [];
	const countCopies = (expert: number) => slots.filter(slotExpert => slotExpert === expert).length;
	return expertsOfRank(map, layer, rank)
		.reduce((sum, expert) => sum + ((tokens[expert] ?? 0) / countCopies(expert)), 0);
}
